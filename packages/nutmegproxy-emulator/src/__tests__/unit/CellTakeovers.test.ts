import type {CellIndex, StoredJob} from '@nutmegproxy/jobs';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {
  decodeProgress,
  encodeRecord,
  findJobCell,
  findMinionCell,
  formatJobKey,
  listCells,
  parseTaskName,
} from '@nutmegproxy/jobs';
import {CellDirectory, OwnerElection} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {RecordedRun} from '../../EmulatedMinion.ts';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createOwner,
  createStepShape,
  createStoredJob,
} from './JobSamples.ts';
import {createFailingStore} from './StoreSamples.ts';

const MINIONS = 12;
const JOBS = 24;
const TASKS = 3;
const TASK_MS = 400;
const STEP_MS = 50;
const MAX_STEPS = 1_200;
/** Steps at which the owner of each cell is killed, in a series and then all at once. */
const KILLS: readonly (readonly [step: number, cell: number])[] = [
  [4, 0],
  [10, 1],
  [16, 2],
  [22, 0],
  [22, 1],
  [22, 2],
];

for (const cells of [1, 3]) {
  describe(`Owners that are killed in a fleet with ${cells} cells`, () => {
    let clock: ManualClock;
    let fleet: EmulatedFleet;
    let kills: Map<CellIndex, () => Promise<void>>;
    let store: MemoryStore;
    let terms: number;

    beforeEach(() => {
      clock = new ManualClock(Date.now());
      fleet = new EmulatedFleet(clock);
      kills = new Map();
      store = new MemoryStore();
      terms = 0;
      for (let number = 0; number < MINIONS; number += 1) {
        const description = createMinionDescription(`m${number}`);
        fleet.add(new EmulatedMinion(description, () => ({durationMs: TASK_MS, outcome: 'done'})));
      }
    });

    afterEach(async () => {
      for (const kill of kills.values()) {
        await kill();
      }
      await store.close();
    });

    /** Starts an owner of a cell that can be killed: it then stores nothing more, and the cell is free. */
    async function start(cell: CellIndex): Promise<void> {
      terms += 1;
      let isIsolated = false;
      const view = createFailingStore(store, () => isIsolated);
      const vm = brand<never>(`vm-${terms}`);
      const events = SILENT_EVENTS;
      const leaseTimes = DEFAULT_LEASE_TIMES;
      const count = {cells, hasPlaces: false, revision: 0};
      const election = new OwnerElection({cell, clock, count, events, leaseTimes, store: view, vm});
      const ownership = (await election.acquire())._unsafeUnwrap();
      const owner = createOwner(
        {clock, events, ownership, store: view},
        fleet,
        new CellDirectory({cell, cells, directory: fleet}),
      );
      const renewal = setInterval(() => {
        void store.keepLeaseAlive(ownership.lease);
        ownership.confirm(clock.monotonic(), clock.wall());
      }, 20);
      void owner.run();
      kills.set(cell, async () => {
        clearInterval(renewal);
        isIsolated = true;
        owner.stop('killed');
        await store.revokeLease(ownership.lease);
      });
    }

    async function submit(job: StoredJob): Promise<void> {
      const key = formatJobKey(job.id, 'request', findJobCell(job.id, cells));
      (await put(store, key, encodeRecord(job)))._unsafeUnwrap();
    }

    async function isCompleted({id}: StoredJob): Promise<boolean> {
      const key = formatJobKey(id, 'progress', findJobCell(id, cells));
      const stored = (await getKey(store, key))._unsafeUnwrap();
      return (
        stored !== undefined && decodeProgress(stored.value)._unsafeUnwrap().status === 'completed'
      );
    }

    async function areCompleted(jobs: readonly StoredJob[]): Promise<boolean> {
      return (await Promise.all(jobs.map(isCompleted))).every(Boolean);
    }

    it('complete all jobs, each in its own cell and no task twice at once', async () => {
      for (const cell of listCells(cells)) {
        await start(cell);
      }
      const step = createStepShape({count: TASKS, estimateMs: TASK_MS});
      const jobs = Array.from({length: JOBS}, (_, number) => createStoredJob(number, [step]));
      for (let steps = 0; steps < MAX_STEPS && !(await areCompleted(jobs)); steps += 1) {
        const job = jobs[steps];
        await (job && submit(job));
        const due = KILLS.filter(([at, cell]) => at === steps && cell < cells);
        for (const [, cell] of due) {
          await kills.get(cell as CellIndex)?.();
        }
        for (const [, cell] of due) {
          await start(cell as CellIndex);
        }
        clock.advance(STEP_MS);
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      assert.ok(await areCompleted(jobs), 'jobs are not completed');
      assert.equal(terms, cells + KILLS.filter(([, cell]) => cell < cells).length);
      checkRuns();
    });

    function checkRuns(): void {
      const byTask = new Map<string, RecordedRun[]>();
      for (const [minion, {records}] of fleet.minions) {
        for (const run of records) {
          const task = parseTaskName(run.task);
          assert.ok(task !== undefined);
          assert.equal(findJobCell(task.job, cells), findMinionCell(minion, cells));
          byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
        }
      }
      assert.equal(byTask.size, JOBS * TASKS);
      for (const [task, runs] of byTask) {
        runs.sort((a, b) => a.startedAtMs - b.startedAtMs);
        for (const [index, {startedAtMs}] of runs.entries()) {
          const former = runs[index - 1];
          assert.ok(
            former === undefined || (former.endedAtMs ?? Infinity) <= startedAtMs,
            `two runs of ${task} at once`,
          );
        }
      }
    }
  });
}
