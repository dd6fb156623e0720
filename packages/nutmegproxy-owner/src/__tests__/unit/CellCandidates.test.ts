import type {VmId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {LeaseId} from '@nutmegproxy/store';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {FIRST_CELL, formatOwnerKey, listCells} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {FleetOwnership} from '../../FleetOwnership.ts';
import type {Owner} from '../../Owner.ts';

import {CellCandidates} from '../../CellCandidates.ts';
import {readOwnerVm} from '../../OwnerElection.ts';
import {OWNER_EVENTS} from '../../OwnerEvents.ts';
import {CELL_COUNT_KEY} from '../../StoredCellCount.ts';

const CELLS = 3;
const WAIT_MS = 15_000;
/** Time in milliseconds in which cells are spread: a VM that has acquired two at once keeps them for 15 s. */
const SPREAD_MS = 25_000;
/** Time in milliseconds in which a VM gives up a cell, and might give up another one. */
const HANDOVERS_MS = 19_000;
/** Time in milliseconds after which the other VMs of a fleet that starts can own cells. */
const LATER_MS = 300;
/** Time in milliseconds in which they acquire what is free. */
const STARTED_MS = 5_000;

describe('CellCandidates', () => {
  let keepAlive: NodeJS.Timeout;
  let lost: unknown[];
  let random: () => number;
  let running: Map<string, CellCandidates>;
  let store: MemoryStore;
  let tokens: number[];

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    lost = [];
    random = Math.random;
    running = new Map();
    store = new MemoryStore();
    tokens = [];
  });

  afterEach(async () => {
    await Promise.all([...running.values()].map((each) => each.stop()));
    clearInterval(keepAlive);
    await store.close();
  });

  /** Creates an owner that does nothing until it is stopped or its ownership has ended. */
  function createOwner(ownership: FleetOwnership): Owner {
    let end: (reason: string) => void = () => undefined;
    const ended = new Promise<string>((resolve) => {
      end = resolve;
    });
    tokens.push(ownership.token);
    const check = setInterval(() => {
      if (ownership.state(SYSTEM_CLOCK.monotonic(), SYSTEM_CLOCK.wall()) === 'over') {
        end('lease ended');
      }
    }, 50);
    void ended.then(() => {
      clearInterval(check);
    });
    return {run: () => ended, stop: end} as unknown as Owner;
  }

  /** Starts a VM that goes by a number of cells without reading it. */
  function start(
    vm: string,
    names: readonly string[],
    cells = CELLS,
    revision = 0,
    cores: (name: string) => number = () => 1,
    ownersNameCells = false,
    startMs = 0,
  ): CellCandidates {
    const startedAt = SYSTEM_CLOCK.monotonic();
    const candidates = new CellCandidates({
      canOwn: () => SYSTEM_CLOCK.monotonic() - startedAt >= startMs,
      clock: SYSTEM_CLOCK,
      count: () => ({cells, hasPlaces: false, ownersNameCells, revision}),
      createOwner,
      events: {
        record: (kind, {reason}) => {
          if (kind === OWNER_EVENTS.OWNERSHIP_LOST) {
            lost.push(reason);
          }
        },
      },
      leaseTimes: DEFAULT_LEASE_TIMES,
      others: () =>
        names
          .filter((name) => name !== vm)
          .map((name) => ({cores: cores(name), vm: brand<VmId>(name)})),
      ownCores: cores(vm),
      random,
      store,
      vm: brand<VmId>(vm),
    });
    running.set(vm, candidates);
    void candidates.run();
    return candidates;
  }

  /** Ends the ownership of a cell, as when its owner is killed. */
  async function endOwnership(cell: CellIndex): Promise<void> {
    const stored = (await getKey(store, formatOwnerKey(cell)))._unsafeUnwrap();
    const {lease} = JSON.parse(String(stored?.value)) as {readonly lease: LeaseId};
    await store.revokeLease(lease);
  }

  async function readOwner(cell: CellIndex): Promise<string | undefined> {
    const stored = (await getKey(store, formatOwnerKey(cell)))._unsafeUnwrap();
    return stored && readOwnerVm(stored);
  }

  async function waitUntil(isReached: () => Promise<boolean>): Promise<void> {
    for (const startedAt = Date.now(); !(await isReached());) {
      assert.ok(Date.now() - startedAt < WAIT_MS, 'condition not met');
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Waits until each cell has an owner, and returns them. */
  async function waitForOwners(
    isExpected: (owners: readonly string[]) => boolean,
    waitMs = WAIT_MS,
  ): Promise<void> {
    let owners: (string | undefined)[] = [];
    for (const startedAt = Date.now(); Date.now() - startedAt < waitMs;) {
      owners = await Promise.all(listCells(CELLS).map(readOwner));
      const known = owners.filter((each) => each !== undefined);
      if (known.length === CELLS && isExpected(known)) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    assert.fail(`the owners are ${owners.join(' ')}`);
  }

  it('lets a VM own all cells while it is alone', async () => {
    start('vm-1', ['vm-1']);
    await waitForOwners((owners) => new Set(owners).size === 1);
    assert.equal(new Set(tokens).size, CELLS);
  });

  it('spreads the cells of a fleet that starts over its VMs', async () => {
    const names = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
    for (const name of names) {
      start(name, names);
    }
    await waitForOwners((owners) => new Set(owners).size === CELLS, SPREAD_MS);
  });

  it('acquires one cell at a time when the delays of several end at once, as on a VM with little processor time', async () => {
    random = () => 0;
    const names = ['vm-1', 'vm-2', 'vm-3'];
    for (const name of names) {
      start(name, names, CELLS, 0, undefined, false, name === 'vm-1' ? 0 : LATER_MS);
    }
    await waitForOwners((owners) => new Set(owners).size === CELLS, STARTED_MS);
  });

  it('leaves a cell that gets free to a larger VM that owns three others, not to a smaller one', async () => {
    const names = ['large', 'small'];
    const cells = listCells(4);
    const cores = (vm: string): number => (vm === 'large' ? 1.35 : 0.324);
    const isOwnedBy = async (cell: CellIndex, vm: string): Promise<boolean> =>
      (await readOwner(cell)) === vm;
    start('large', names, cells.length, 0, cores);
    for (const cell of cells) {
      await waitUntil(() => isOwnedBy(cell, 'large'));
    }
    start('small', names, cells.length, 0, cores);
    await endOwnership(FIRST_CELL);
    await waitUntil(async () => (await readOwner(FIRST_CELL)) !== undefined);
    assert.equal(await readOwner(FIRST_CELL), 'large');
    // Where the larger one is gone, the smaller one does not wait for what it owned.
    const stoppedAt = Date.now();
    await running.get('large')?.stop();
    await waitUntil(() => isOwnedBy(FIRST_CELL, 'small'));
    assert.ok(Date.now() - stoppedAt < 2_500, `${Date.now() - stoppedAt} ms`);
  });

  it('lets a VM that owns a cell take over others when their owners stop in a series', async () => {
    const names = ['vm-1', 'vm-2', 'vm-3'];
    for (const name of names) {
      start(name, names);
    }
    await waitForOwners(() => true);
    await running.get('vm-1')?.stop();
    await waitForOwners((owners) => !owners.includes('vm-1'));
    await running.get('vm-2')?.stop();
    await waitForOwners((owners) => owners.every((owner) => owner === 'vm-3'));
    assert.equal(new Set(tokens).size, tokens.length, 'a token was used twice');
  });

  it('names the VMs that own cells, and counts the last owner of a free one until it has another', async () => {
    const cells = listCells(CELLS);
    for (const cell of cells) {
      await put(store, formatOwnerKey(cell), Buffer.from('{"lease":"1","vm":"vm-2"}'));
    }
    const candidates = start('vm-1', ['vm-1', 'vm-2']);
    await waitUntil(() => Promise.resolve(candidates.ownerVms.size === 1));
    assert.deepEqual([...candidates.ownerVms], ['vm-2']);
    const seen = new Set<ReadonlySet<VmId>>();
    await store.commit({compare: [], then: [{key: formatOwnerKey(FIRST_CELL), kind: 'delete'}]});
    await waitUntil(async () => {
      seen.add(candidates.ownerVms);
      return (await readOwner(FIRST_CELL)) === 'vm-1' && candidates.ownerVms.size === 2;
    });
    assert.deepEqual(
      [...seen].map((vms) => [...vms].sort()),
      [['vm-2'], ['vm-1', 'vm-2']],
    );
  });

  it('gives up no second cell before the first one has an owner', async () => {
    // The other VM is listed and acquires nothing, as while it has no configuration.
    start('vm-1', ['vm-1', 'vm-2']);
    await waitForOwners((owners) => owners.every((owner) => owner === 'vm-1'));
    let freeReads = 0;
    for (const startedAt = Date.now(); Date.now() - startedAt < HANDOVERS_MS;) {
      const owners = await Promise.all(listCells(CELLS).map(readOwner));
      const free = owners.filter((each) => each === undefined).length;
      freeReads += free;
      assert.ok(free <= 1, `${free} cells are free`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    assert.ok(freeReads > 0, 'no cell was given up');
  });

  it('owns no cell of a new fleet while a VM of a former version, which knows one cell, owns the first one', async () => {
    const value = Buffer.from(JSON.stringify({cells: CELLS, ownersNameCells: true}));
    const revision = (await put(store, CELL_COUNT_KEY, value))._unsafeUnwrap();
    start('vm-1', ['vm-1'], CELLS, revision, undefined, true);
    await waitForOwners((owners) => owners.every((owner) => owner === 'vm-1'));
    await endOwnership(FIRST_CELL);
    const key = formatOwnerKey(FIRST_CELL);
    await put(store, key, Buffer.from('{"lease":"1","vm":"former"}'));
    const [second, third] = [1 as CellIndex, 2 as CellIndex];
    await waitUntil(async () => (await readOwner(second)) === undefined);
    await waitUntil(async () => (await readOwner(third)) === undefined);
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    const owners = await Promise.all(listCells(CELLS).map(readOwner));
    assert.deepEqual(owners, ['former', undefined, undefined]);
    await store.commit({compare: [], then: [{key, kind: 'delete'}]});
    await waitForOwners((found) => found.every((owner) => owner === 'vm-1'));
  });

  it('owns nothing any more once it is stopped', async () => {
    const candidates = start('vm-1', ['vm-1']);
    await waitForOwners(() => true);
    await candidates.stop();
    for (const cell of listCells(CELLS)) {
      assert.equal(await readOwner(cell), undefined);
    }
  });

  describe('when the stored number is replaced beside running VMs', () => {
    async function storeCount(cells: number): Promise<number> {
      return (
        await put(store, CELL_COUNT_KEY, Buffer.from(JSON.stringify({cells})))
      )._unsafeUnwrap();
    }

    it('never gives a minion two owners, whichever VM acquires a free cell first', async () => {
      const former = await storeCount(CELLS);
      start('vm-1', ['vm-1'], CELLS, former);
      await waitForOwners((owners) => owners.every((owner) => owner === 'vm-1'));
      start('vm-2', ['vm-1', 'vm-2'], 2, await storeCount(2));
      await endOwnership(FIRST_CELL);
      for (let read = 0; read < 300; read += 1) {
        const owners = await Promise.all(listCells(CELLS).map(readOwner));
        assert.ok(new Set(owners.filter((each) => each !== undefined)).size <= 1, owners.join(' '));
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
    });

    it('ends the ownerships of a VM that has no cell to acquire when it reads the number', async () => {
      const candidates = start('vm-1', ['vm-1'], CELLS, await storeCount(CELLS));
      const known = (await getKey(store, CELL_COUNT_KEY))._unsafeUnwrap();
      await waitForOwners((owners) => owners.every((owner) => owner === 'vm-1'));
      // A response to a read before the number was stored.
      await candidates.checkCount(undefined);
      await candidates.checkCount(known);
      // A malformed number stops no owner.
      await put(store, CELL_COUNT_KEY, Buffer.from('{'));
      await candidates.checkCount((await getKey(store, CELL_COUNT_KEY))._unsafeUnwrap());
      assert.deepEqual(lost, []);
      await storeCount(2);
      await candidates.checkCount((await getKey(store, CELL_COUNT_KEY))._unsafeUnwrap());
      while (lost.length < CELLS) {
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      const owners = await Promise.all(listCells(CELLS).map(readOwner));
      assert.deepEqual(owners, [undefined, undefined, undefined]);
    });

    it('ends the ownerships of a VM with the former number once it finds that out', async () => {
      start('vm-1', ['vm-1'], CELLS, await storeCount(CELLS));
      await waitForOwners((owners) => owners.every((owner) => owner === 'vm-1'));
      const revision = await storeCount(2);
      await endOwnership(FIRST_CELL);
      start('vm-2', ['vm-1', 'vm-2'], 2, revision);
      for (const cell of listCells(2)) {
        await waitUntil(async () => (await readOwner(cell)) === 'vm-2');
      }
      assert.equal(await readOwner(2 as CellIndex), undefined);
      assert.ok(lost.length >= 2);
      assert.deepEqual(
        new Set(lost),
        new Set(['another number of cells is stored', 'lease ended']),
      );
    });
  });

  it('owns the first cell alone in a fleet that is not divided', async () => {
    start('vm-1', ['vm-1'], 1);
    while (tokens.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    const owners = await Promise.all(listCells(CELLS).map(readOwner));
    assert.deepEqual(owners, ['vm-1', undefined, undefined]);
  });
});
