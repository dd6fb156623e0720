import type {IncarnationId} from '@nutmegproxy/core';
import type {TaskChange} from '@nutmegproxy/schema';

import {brand, CommandBus, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {after, describe, it} from 'node:test';
import {Registry} from 'prom-client';

import {CellLog} from '../../CellLog.ts';
import {recoverCell} from '../../CellRecovery.ts';
import {GroupCommit} from '../../GroupCommit.ts';
import {CellKeys} from '../../TaskKeys.ts';
import {TaskTable} from '../../TaskTable.ts';
import {MemoryStore} from '../MemoryStore.ts';

const OWNER = brand<IncarnationId>('vm-1.1');
const SEED = 20_261_203;
const RUNS = 60;
const RESERVED = {accelerators: 0, cpu: 1, memoryMb: 1};
const JOBS = ['a', 'b', 'c'];
const keys = new CellKeys('/n', brand('dc1'), brand('rack-1'));
const parseOwner = (value: Buffer) =>
  JSON.parse(value.toString()) as {epoch: number; owner: IncarnationId};

async function recover(store: MemoryStore) {
  const node = {
    bus: new CommandBus(),
    clock: new ManualClock(),
    events: SILENT_EVENTS,
    identity: {} as never,
    metrics: new Registry(),
  };
  const commit = new GroupCommit(node, store, () => 0, 0);
  const recovered = await recoverCell(store, keys, parseOwner, OWNER);
  assert.ok(recovered.isOk());
  const {position, table} = recovered.value;
  return {log: new CellLog(keys, commit, position), position, table};
}

const change: fc.Arbitrary<TaskChange> = fc
  .record({
    at: fc.nat(1000),
    checkpoint: fc.constantFrom('x', 'y'),
    failed: fc.boolean(),
    index: fc.nat(1),
    job: fc.constantFrom(...JOBS),
    kind: fc.constantFrom(
      'job-accepted',
      'job-cancelled',
      'job-forgotten',
      'start-intended',
      'start-confirmed',
      'eviction-intended',
      'attempt-returned',
      'task-ended',
    ),
    start: fc.nat(2),
  })
  .map(({at, checkpoint, failed, index, job, kind, start}) => {
    const task = `${job}/${index}`;
    const attempt = `${task}#${start}`;
    const changes: Record<TaskChange['kind'], TaskChange> = {
      'attempt-returned': {at, attempt, checkpoint, failed, kind: 'attempt-returned', task},
      'eviction-intended': {attempt, kind: 'eviction-intended', task},
      'job-accepted': {at, count: 2, entry: 'e', job, kind: 'job-accepted'},
      'job-cancelled': {at, job, kind: 'job-cancelled'},
      'job-forgotten': {job, kind: 'job-forgotten'},
      'start-confirmed': {attempt, kind: 'start-confirmed', task},
      'start-intended': {
        at,
        attempt,
        kind: 'start-intended',
        reserved: RESERVED,
        startBefore: at,
        task,
        worker: 'w1',
      },
      'task-ended': {at, kind: 'task-ended', outcome: 'succeeded', task},
    };
    return changes[kind];
  });

describe('cell log', () => {
  // The package's timers are unreferenced and do not keep the process alive.
  const keepAlive = setInterval(() => undefined, 1000);
  after(() => {
    clearInterval(keepAlive);
  });

  describe('recovery', () => {
    it('restores the state after any changes, snapshots and lost responses', async () => {
      const step = fc.record({
        changes: fc.array(change, {maxLength: 6, minLength: 1}),
        fault: fc.constantFrom(undefined, undefined, 'late' as const, 'lost-answer' as const),
        snapshot: fc.boolean(),
      });
      await fc.assert(
        fc.asyncProperty(fc.array(step, {maxLength: 8}), async (steps) => {
          const store = new MemoryStore();
          store.put(keys.owner, {epoch: 1, owner: OWNER});
          const {log, table} = await recover(store);
          for (const {changes, fault, snapshot} of steps) {
            store.faults = fault ? [fault] : [];
            const outcome = await log.append(changes);
            assert.equal(outcome.kind, 'committed');
            changes.forEach((each) => {
              table.apply(each);
            });
            if (snapshot) {
              assert.equal(await log.snapshot(table), 'committed');
            }
          }
          const again = await recover(store);
          assert.deepEqual(again.table.snapshot(), table.snapshot());
          assert.equal(again.table.liveCount, table.liveCount);
          assert.equal(again.table.taskCount, table.taskCount);
        }),
        {numRuns: RUNS, seed: SEED},
      );
    });

    it('fails for a process that is not the owner in the store', async () => {
      const store = new MemoryStore();
      store.put(keys.owner, {epoch: 1, owner: 'other'});
      const recovered = await recoverCell(store, keys, parseOwner, OWNER);
      assert.equal(recovered.isErr() && recovered.error.kind, 'not-owner');
    });
  });

  describe('snapshot', () => {
    it('is split into values below the size limit and deletes the covered deltas', async () => {
      const store = new MemoryStore();
      store.put(keys.owner, {epoch: 1, owner: OWNER});
      const {log, table} = await recover(store);
      for (const job of ['a', 'b', 'c', 'd']) {
        const input = 'x'.repeat(250_000);
        const accepted = {at: 1, count: 1, entry: 'e', input, job, kind: 'job-accepted'} as const;
        await log.append([accepted]);
        table.apply(accepted);
      }
      assert.equal(await log.snapshot(table), 'committed');
      const sizes = [...store.values.values()].map(({value}) => value.length);
      assert.ok(Math.max(...sizes) < 1_000_000);
      assert.equal([...store.values.keys()].filter((key) => key.startsWith(keys.deltas)).length, 0);
      const again = await recover(store);
      assert.deepEqual(again.table.snapshot(), table.snapshot());
    });

    it('keeps the deltas when it is not completed', async () => {
      const store = new MemoryStore();
      store.put(keys.owner, {epoch: 1, owner: OWNER});
      const {log, table} = await recover(store);
      const accepted = {at: 1, count: 1, entry: 'e', job: 'a', kind: 'job-accepted'} as const;
      await log.append([accepted]);
      table.apply(accepted);
      // Another process acquires the cell between the writes of the chunks and the header.
      store.onCommit = () => {
        store.onCommit = () => {
          store.put(keys.owner, {epoch: 2, owner: OWNER});
        };
      };
      assert.equal(await log.snapshot(table), 'lost');
      store.onCommit = () => undefined;
      const again = await recover(store);
      assert.deepEqual(again.table.snapshot(), table.snapshot());
    });
  });

  describe('ownership', () => {
    it('is lost when the owner key changes', async () => {
      const store = new MemoryStore();
      store.put(keys.owner, {epoch: 1, owner: OWNER});
      const {log} = await recover(store);
      store.put(keys.owner, {epoch: 2, owner: 'other'});
      const outcome = await log.append([{job: 'a', kind: 'job-forgotten'}]);
      assert.equal(outcome.kind, 'lost');
      assert.equal([...store.values.keys()].filter((key) => key.startsWith(keys.deltas)).length, 0);
    });
  });

  describe('table', () => {
    it('ends a cancelled job with many queued tasks and empties its queue', () => {
      const table = new TaskTable();
      table.apply({at: 1, count: 10_000, entry: 'e', job: 'a', kind: 'job-accepted'});
      table.apply({at: 2, job: 'a', kind: 'job-cancelled'});
      assert.equal(table.endedJobs.size, 1);
      assert.deepEqual([...table.queuedTasks('e')], []);
    });
  });
});
