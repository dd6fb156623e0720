import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {WriteOutcome} from '../../OwnerRecord.ts';

import {RecordWriter} from '../../RecordWriter.ts';
import {waitForStore} from './OwnerSamples.ts';

const FAILURES: readonly WriteOutcome[] = ['failed', 'unknown'];

describe('RecordWriter', () => {
  let fenced: number;
  let keepAlive: NodeJS.Timeout;
  /** Ends the writes that were begun, in their order. */
  let ends: ((outcome: WriteOutcome) => void)[];
  let value: string;
  let writer: RecordWriter;
  let written: string[];

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    ends = [];
    fenced = 0;
    value = '';
    written = [];
    writer = new RecordWriter({
      onFenced: () => {
        fenced += 1;
      },
      write: () => {
        written.push(value);
        return new Promise((resolve) => ends.push(resolve));
      },
    });
  });

  afterEach(() => {
    clearInterval(keepAlive);
    writer.close();
  });

  /** A change, and whether the writer told that it is stored. */
  interface Change {
    isStored: boolean;
  }

  function change(letter: string): Change {
    value += letter;
    return observe(writer.change());
  }

  function observe(promise: Promise<void>): Change {
    const observed: Change = {isStored: false};
    void promise.then(() => {
      observed.isStored = true;
    });
    return observed;
  }

  /** Waits until a number of writes were begun. */
  async function waitForWrites(count: number): Promise<void> {
    while (written.length < count) {
      await waitForStore();
    }
    assert.equal(written.length, count);
  }

  async function end(outcome: WriteOutcome): Promise<void> {
    ends.shift()?.(outcome);
    await waitForStore();
  }

  it('puts changes of the same turn into one write', async () => {
    const first = change('a');
    const second = change('b');
    await waitForWrites(1);
    await end('written');
    assert.deepEqual(written, ['ab']);
    assert.ok(first.isStored && second.isStored);
  });

  it('does not let a change wait for later ones', async () => {
    const first = change('a');
    await waitForWrites(1);
    const second = change('b');
    await end('written');
    await waitForWrites(2);
    assert.deepEqual([first.isStored, second.isStored], [true, false]);
    change('c');
    await end('written');
    await waitForWrites(3);
    assert.ok(second.isStored);
    assert.deepEqual(written, ['a', 'ab', 'abc']);
  });

  it('has one write in flight at most', async () => {
    change('a');
    await waitForWrites(1);
    change('b');
    await waitForStore();
    assert.deepEqual(written, ['a']);
  });

  it('waits for the changes made so far when nothing has changed since', async () => {
    assert.ok((await writer.flush().then(() => true)) && written.length === 0);
    change('a');
    const flushed = observe(writer.flush());
    await waitForWrites(1);
    assert.equal(flushed.isStored, false);
    await end('written');
    assert.ok(flushed.isStored);
    await writer.flush();
    assert.deepEqual(written, ['a']);
  });

  for (const outcome of FAILURES) {
    it(`writes again after an outcome "${outcome}", which stores no change`, async () => {
      const first = change('a');
      await waitForWrites(1);
      const second = change('b');
      await end(outcome);
      assert.equal(first.isStored, false);
      await waitForWrites(2);
      assert.deepEqual([first.isStored, second.isStored], [false, false]);
      await end('written');
      assert.deepEqual([first.isStored, second.isStored], [true, true]);
      assert.deepEqual(written, ['a', 'ab']);
    });
  }

  it('writes nothing and stores nothing once it is fenced', async () => {
    const first = change('a');
    await waitForWrites(1);
    await end('fenced');
    const second = change('b');
    await waitForStore();
    assert.deepEqual([first.isStored, second.isStored], [false, false]);
    assert.deepEqual([fenced, written], [1, ['a']]);
  });

  it('begins no write once it is closed, and tells of the one in flight', async () => {
    const first = change('a');
    await waitForWrites(1);
    const second = change('b');
    writer.close();
    await end('written');
    assert.deepEqual([first.isStored, second.isStored], [true, false]);
    assert.deepEqual(written, ['a']);
  });
});
