import type {EventKind} from '@nutmegproxy/core';

import {MAX_CELLS} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import {CELL_COUNT_KEY, readCellCount} from '../../CellCount.ts';
import {ENTRY_EVENTS} from '../../EntryEvents.ts';

/** Time in milliseconds of some reads. */
const SOME_READS_MS = 700;

describe('The number of cells', () => {
  const keepAlive = setInterval(() => undefined, 1_000);
  after(() => {
    clearInterval(keepAlive);
  });
  let events: EventKind[];
  let isStopping: boolean;
  let store: MemoryStore;

  beforeEach(() => {
    events = [];
    isStopping = false;
    store = new MemoryStore();
  });

  function read(): Promise<number | undefined> {
    return readCellCount({
      events: {record: (kind) => events.push(kind)},
      isStopping: () => isStopping,
      store,
    });
  }

  async function write(value: string): Promise<void> {
    (await put(store, CELL_COUNT_KEY, Buffer.from(value)))._unsafeUnwrap();
  }

  it('is one where none is stored, as after a former version', async () => {
    assert.equal(await read(), 1);
    assert.deepEqual(events, []);
  });

  it('is what is stored, up to the bound', async () => {
    await write('{"cells":3}');
    assert.equal(await read(), 3);
    await write(`{"cells":${MAX_CELLS}}`);
    assert.equal(await read(), MAX_CELLS);
  });

  const malformed = ['0', '-1', '1.5', String(MAX_CELLS + 1), '"3"', 'null', '1e400'].map(
    (cells) => `{"cells":${cells}}`,
  );
  for (const value of [...malformed, '', '{', 'null', '7', '[]', '{}']) {
    it(`is reported once and not guessed when it is malformed: ${value}`, async () => {
      await write(value);
      let known: number | undefined;
      const reading = read().then((cells) => {
        known = cells;
      });
      await new Promise((resolve) => setTimeout(resolve, SOME_READS_MS));
      assert.equal(known, undefined);
      assert.deepEqual(events, [ENTRY_EVENTS.CELL_COUNT_MALFORMED]);
      await write('{"cells":2}');
      await reading;
      assert.equal(known, 2);
    });
  }

  it('is not read any more by a process that stops', async () => {
    await write('{');
    const reading = read();
    isStopping = true;
    assert.equal(await reading, undefined);
  });

  it('is read again while the store does not answer', async () => {
    store.faults.change({down: true});
    const reading = read();
    await new Promise((resolve) => setTimeout(resolve, SOME_READS_MS));
    store.faults.change({down: false});
    assert.equal(await reading, 1);
    assert.deepEqual(events, []);
  });
});
