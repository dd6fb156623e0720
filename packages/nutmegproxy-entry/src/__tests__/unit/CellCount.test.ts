import type {EventKind, MinionId} from '@nutmegproxy/core';
import type {CellCountRecord, MachineList, MachineOccupants} from '@nutmegproxy/owner';
import type {MachineId} from '@nutmegproxy/scheduling';

import {brand, ManualClock, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey, MAX_CELLS} from '@nutmegproxy/jobs';
import {CELL_COUNT_KEY, OWNER_EVENTS} from '@nutmegproxy/owner';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import {errAsync, okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import type {CellCountOptions} from '../../CellCount.ts';

import {CellCount} from '../../CellCount.ts';
import {ENTRY_EVENTS} from '../../EntryEvents.ts';

/** Time in milliseconds of some reads. */
const SOME_READS_MS = 700;
const SMALL_VM_CORES = 0.12;
const LARGE_VM_CORES = 1.35;

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

  async function find(change: Partial<CellCountOptions> = {}): Promise<number | undefined> {
    const count = createCellCount(change);
    const found = await count.find();
    const stored = (await getKey(store, CELL_COUNT_KEY))._unsafeUnwrap();
    assert.ok(found === undefined || found.revision === (stored?.modRevision ?? 0));
    return found?.cells;
  }

  function createCellCount(change: Partial<CellCountOptions>): CellCount {
    return new CellCount({
      clock: SYSTEM_CLOCK,
      events: {record: (kind) => events.push(kind)},
      isStopping: () => isStopping,
      machines: undefined,
      ownCores: LARGE_VM_CORES,
      random: () => 0,
      readOtherCores: () => Promise.resolve([]),
      store,
      ...change,
    });
  }

  function createMachines(minions: number): MachineList {
    const occupants: MachineOccupants = new Map(
      Array.from({length: minions}, (_, number) => [
        brand<MachineId>(`machine-${number}`),
        brand<MinionId>(`m${number}`),
      ]),
    );
    return {list: () => okAsync(occupants)};
  }

  async function write(value: string, key = CELL_COUNT_KEY): Promise<void> {
    (await put(store, key, Buffer.from(value)))._unsafeUnwrap();
  }

  /** Returns the record of a new fleet; owners of a divided one name the number. */
  function formatRecord(cells: number): CellCountRecord {
    return cells === 1 ? {cells} : {cells, ownersNameCells: true, places: true};
  }

  async function readStored(): Promise<string | undefined> {
    return (await getKey(store, CELL_COUNT_KEY))._unsafeUnwrap()?.value.toString();
  }

  describe('of a fleet that has had an owner', () => {
    it('is one where none is stored, as after a former version, and none is stored then', async () => {
      await write('4', formatRecordKey('term', FIRST_CELL));
      const change = {
        machines: createMachines(500),
        readOtherCores: () => Promise.resolve([0.12, 0.12, 0.12]),
      };
      assert.equal(await find({...change, ownCores: SMALL_VM_CORES}), 1);
      assert.equal(await readStored(), undefined);
      assert.deepEqual(events, []);
    });

    it('is what is stored, up to the bound', async () => {
      await write('4', formatRecordKey('term', FIRST_CELL));
      await write('{"cells":3}');
      assert.equal(await find(), 3);
      await write(`{"cells":${MAX_CELLS}}`);
      assert.equal(await find(), MAX_CELLS);
    });
  });

  it('says that jobs have places only where the version that divided the fleet finds them', async () => {
    for (const [value, hasPlaces] of [
      ['{"cells":3}', false],
      ['{"cells":1}', false],
      ['{"cells":3,"places":true}', true],
    ] as const) {
      await write(value);
      const count = await createCellCount({}).find();
      assert.equal(count?.hasPlaces, hasPlaces, value);
    }
  });

  describe('of a new fleet', () => {
    it('is one where a VM carries the fleet, or the platform has no list of machines', async () => {
      assert.equal(await find({machines: createMachines(490)}), 1);
      assert.equal(await readStored(), '{"cells":1}');
      store = new MemoryStore();
      assert.equal(
        await find({ownCores: SMALL_VM_CORES, readOtherCores: () => Promise.resolve([0.12, 0.12])}),
        1,
      );
    });

    it('is the same for all VMs that start together, whatever each knows', async () => {
      const found = await Promise.all(
        [[], [0.12], [0.12, 0.12], [0.12, 0.12, 0.12, 0.12]].map((others) =>
          find({
            machines: createMachines(300),
            ownCores: SMALL_VM_CORES,
            random: Math.random,
            readOtherCores: () => Promise.resolve(others),
          }),
        ),
      );
      assert.equal(new Set(found).size, 1);
      const cells = found[0] ?? 0;
      assert.equal(await readStored(), JSON.stringify(formatRecord(cells)));
      assert.deepEqual(events, [ENTRY_EVENTS.CELLS_CHOSEN]);
    });

    it('is not decided by a small VM before enough of the others have registered', async () => {
      let others: number[] = [];
      for (const atMs of [700, 1_000, 1_300]) {
        setTimeout(() => {
          others = [...others, SMALL_VM_CORES];
        }, atMs);
      }
      const change = {machines: createMachines(205), ownCores: SMALL_VM_CORES};
      assert.equal(await find({...change, readOtherCores: () => Promise.resolve(others)}), 3);
    });

    it('is one where larger VMs register after enough small ones', async () => {
      let others = [0.324, 0.324, 0.324];
      setTimeout(() => {
        others = [...others, LARGE_VM_CORES, LARGE_VM_CORES];
      }, 1_100);
      const change = {machines: createMachines(490), ownCores: 0.324};
      assert.equal(await find({...change, readOtherCores: () => Promise.resolve(others)}), 1);
    });

    it('is decided without further VMs when they do not come', async () => {
      const change = {machines: createMachines(205), ownCores: SMALL_VM_CORES};
      assert.equal(await find({...change, readOtherCores: () => Promise.resolve([0.12])}), 2);
      assert.equal(await readStored(), JSON.stringify(formatRecord(2)));
    });

    it('is decided once the machines can be listed', async () => {
      let lists = 0;
      const machines: MachineList = {
        list: () => {
          lists += 1;
          return lists < 3
            ? errAsync({kind: 'unavailable', message: 'down'})
            : createMachines(205).list();
        },
      };
      const change = {
        machines,
        ownCores: SMALL_VM_CORES,
        readOtherCores: () => Promise.resolve([0.12, 0.12]),
      };
      assert.equal(await find(change), 3);
    });

    describe('is put off for a time, not for a number of attempts:', () => {
      let clock: ManualClock;
      let reads: number;

      beforeEach(() => {
        clock = new ManualClock();
        reads = 0;
      });

      /** Finds the number in a fleet of 205 minions; each list of machines or VMs takes a time. */
      function findSlowly(
        listMs: number,
        isListed: boolean,
        readMs: number,
        countVms: () => number,
      ): Promise<number | undefined> {
        const machines: MachineList = {
          list: () => {
            clock.advance(listMs);
            return isListed
              ? createMachines(205).list()
              : errAsync({kind: 'unavailable', message: 'no response'});
          },
        };
        const readOtherCores = (): Promise<number[]> => {
          reads += 1;
          clock.advance(readMs);
          return Promise.resolve(Array<number>(countVms()).fill(SMALL_VM_CORES));
        };
        return find({clock, machines, ownCores: SMALL_VM_CORES, readOtherCores});
      }

      it('two seconds and a call while the machines can not be listed', async () => {
        assert.equal(await findSlowly(1_000, false, 0, () => 4), 1);
        assert.ok(clock.monotonic() <= 3_000, `${clock.monotonic()} ms`);
      });

      it('two seconds and some calls while too few VMs are registered', async () => {
        assert.equal(await findSlowly(300, true, 300, () => 1), 2);
        assert.ok(clock.monotonic() <= 4_000, `${clock.monotonic()} ms`);
      });

      it('a second and a call after the list of VMs has grown last', async () => {
        assert.equal(await findSlowly(0, true, 600, () => Math.min(reads, 3)), 3);
        assert.ok(
          clock.monotonic() >= 2_000 && clock.monotonic() <= 3_600,
          `${clock.monotonic()} ms`,
        );
      });

      it('six seconds and a call while the list of VMs changes all the time', async () => {
        assert.equal(await findSlowly(0, true, 500, () => 3 + (reads % 2)), 3);
        assert.ok(clock.monotonic() <= 6_500, `${clock.monotonic()} ms`);
      });
    });

    it('stays one when a former version acquires the ownership first', async () => {
      const machines: MachineList = {
        list: () => {
          void write('0', formatRecordKey('term', FIRST_CELL));
          return createMachines(205).list();
        },
      };
      const change = {
        machines,
        ownCores: SMALL_VM_CORES,
        readOtherCores: () => Promise.resolve([0.12, 0.12]),
      };
      assert.equal(await find(change), 1);
      assert.equal(await readStored(), undefined);
    });
  });

  it('is not taken for one when it is decided, and the fleet owned, between two reads', async () => {
    const commit = store.commit.bind(store);
    let reads = 0;
    store.commit = (transaction) => {
      const read = commit(transaction);
      if (transaction.then.some(({kind}) => kind === 'get')) {
        reads += 1;
        return reads === 1
          ? read.andThen((answer) =>
              commit({
                compare: [],
                then: [
                  {key: CELL_COUNT_KEY, kind: 'put', value: Buffer.from('{"cells":3}')},
                  {
                    key: formatRecordKey('term', FIRST_CELL),
                    kind: 'put',
                    value: Buffer.from('0'),
                  },
                ],
              }).map(() => answer),
            )
          : read;
      }
      return read;
    };
    assert.equal(await find(), 3);
  });

  const malformed = ['0', '-1', '1.5', String(MAX_CELLS + 1), '"3"', 'null', '1e400'].map(
    (cells) => `{"cells":${cells}}`,
  );
  for (const value of [...malformed, '{"cells":3,"places":1}', '', '{', 'null', '7', '[]', '{}']) {
    it(`is reported once and not guessed when it is malformed: ${value}`, async () => {
      await write(value);
      let known: number | undefined;
      const finding = find().then((cells) => {
        known = cells;
      });
      await new Promise((resolve) => setTimeout(resolve, SOME_READS_MS));
      assert.equal(known, undefined);
      assert.deepEqual(events, [ENTRY_EVENTS.CELL_COUNT_MALFORMED]);
      await write('{"cells":2}');
      await finding;
      assert.equal(known, 2);
    });
  }

  it('is read anew each time, so that a key that was removed is not assumed from the last time', async () => {
    await write('0', formatRecordKey('term', FIRST_CELL));
    const count = createCellCount({machines: createMachines(490)});
    assert.deepEqual(await count.find(), {cells: 1, hasPlaces: false, revision: 0});
    await store.commit({
      compare: [],
      then: [{key: formatRecordKey('term', FIRST_CELL), kind: 'delete'}],
    });
    await count.find();
    assert.equal(await readStored(), '{"cells":1}');
  });

  it('is not read any more by a process that stops', async () => {
    await write('{');
    const finding = find();
    isStopping = true;
    assert.equal(await finding, undefined);
  });

  it('is read again while the store does not answer', async () => {
    await write('{"cells":2}');
    store.faults.change({down: true});
    const finding = find();
    await new Promise((resolve) => setTimeout(resolve, SOME_READS_MS));
    store.faults.change({down: false});
    assert.equal(await finding, 2);
    assert.deepEqual(new Set(events), new Set([OWNER_EVENTS.STORE_CALL_FAILED]));
  });
});
