import type {Clock, Instant, WallTime} from '@nutmegproxy/core';
import type {JobProgress, Run, RunNumber, StepState} from '@nutmegproxy/jobs';
import type {MinionState, RunReport} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {decodeProgress, formatJobKey, formatTaskName, JobState} from '@nutmegproxy/jobs';
import {Fleet, reconcileListing} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';

import type {QueueLengths} from '../../QueueLengthPublisher.ts';

import {Journal} from '../../Journal.ts';
import {QUEUE_LENGTHS_REPEAT_MS, QUEUE_LENGTHS_VALID_MS} from '../../OwnerConstants.ts';
import {QUEUE_LENGTHS_KEY, QueueLengthPublisher} from '../../QueueLengthPublisher.ts';
import {adoptRecordedRuns} from '../../SilentRecords.ts';
import {UnreportedMinions} from '../../UnreportedMinions.ts';
import {acquireOwnership, createMinion, createStep} from './OwnerSamples.ts';

const NOW = 1_000 as Instant;

describe('Queue lengths', () => {
  // The timers of the publisher don't keep the process alive, so this one does.
  const keepAlive = setInterval(() => undefined, 1_000);
  after(() => {
    clearInterval(keepAlive);
  });

  let fleet: Fleet;
  let minion: MinionState;
  let run: Run;
  let step: StepState;

  beforeEach(() => {
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    fleet.minions.set(minion.id, minion);
    step = createStep(1, {count: 2});
    fleet.jobs.set(step.job.id, step.job);
    run = fleet.startRun(step, 0, minion, NOW);
  });

  /** Publishes, once by default, and returns the number of jobs that are said to wait. */
  async function publish(times = 1): Promise<number> {
    const store = new MemoryStore();
    const ownership = await acquireOwnership(store);
    let rounds = 0;
    await new QueueLengthPublisher({
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      fleet,
      ownership,
      store,
    }).run(() => {
      rounds += 1;
      return rounds <= times;
    });
    const stored = (await getKey(store, QUEUE_LENGTHS_KEY))._unsafeUnwrap();
    const {counts} = JSON.parse(stored?.value.toString() ?? '') as {counts: {proofs?: number}};
    return counts.proofs ?? 0;
  }

  function list(running: readonly RunReport[], ended: 'done' | 'failed' | undefined): void {
    const result = {checkpoint: undefined, number: run.number, sequence: 1, task: run.task};
    reconcileListing(
      fleet,
      minion,
      {
        bornAt: 1,
        clockMs: 0,
        ended: ended === undefined ? [] : [{...result, outcome: ended}],
        mayOmitResults: false,
        running,
      },
      {appliedThrough: 0, now: NOW, requestedAt: NOW},
    );
  }

  describe('count a job whose first task was placed', () => {
    it('while its start waits for its turn in a full owner', async () => {
      assert.equal(await publish(), 1);
    });

    it('and taken back, as its start was never sent', async () => {
      fleet.discardRun(run);
      assert.equal(await publish(), 1);
    });
  });

  describe('do not count a job of which a minion', () => {
    it('lists a run', async () => {
      const {number, task} = run;
      list([{checkpoint: undefined, number, percent: 0, reading: 0, task}], undefined);
      assert.equal(await publish(), 0);
    });

    it('lists a result', async () => {
      list([], 'failed');
      assert.equal(await publish(), 0);
    });
  });

  describe('under the next owner', () => {
    let name: string;

    /** Lets another owner read the stored job. */
    function takeOver(progress: JobProgress = step.job.exportProgress()): void {
      const {request, revision} = step.job;
      const job = new JobState(request, revision, progress);
      fleet = new Fleet(SILENT_EVENTS);
      minion = createMinion();
      fleet.minions.set(minion.id, minion);
      fleet.jobs.set(job.id, job);
      step = job.occurrence(0)?.[0] ?? step;
    }

    beforeEach(() => {
      name = formatTaskName(run.task);
    });

    it('count a job whose start was never sent', async () => {
      takeOver();
      assert.equal(await publish(), 1);
    });

    it('count a job that is to last and whose start was never sent', async () => {
      step = createStep(2, {count: 2, longRunning: true});
      fleet.startRun(step, 0, minion, NOW);
      takeOver();
      assert.equal(await publish(), 1);
    });

    it('count it while others are recovered, once the minions could report', async () => {
      takeOver();
      fleet.recoveryRevision = step.job.revision + 1;
      assert.equal(await publish(2), 1);
    });

    it('count one whose start may not have reached a silent minion', async () => {
      takeOver();
      const runs = [[name, run.number]] as const;
      adoptRecordedRuns(fleet, minion, {remainingMs: 5_000, runs, unconfirmed: runs}, NOW);
      assert.equal(await publish(), 1);
    });

    it('do not count a job of which minions could not report yet', async () => {
      takeOver();
      fleet.recoveryRevision = step.job.revision + 1;
      assert.equal(await publish(), 0);
    });

    it('do not count one that a minion had begun when its progress was stored', async () => {
      const {number, task} = run;
      list([{checkpoint: undefined, number, percent: 0, reading: 0, task}], undefined);
      takeOver();
      assert.equal(await publish(), 0);
    });

    it('do not count one with a stored result', async () => {
      list([], 'failed');
      takeOver();
      assert.equal(await publish(), 0);
    });

    it('do not count one of which a minion lists a run', async () => {
      takeOver();
      const {number, task} = run;
      list([{checkpoint: undefined, number, percent: 0, reading: 0, task}], undefined);
      assert.equal(await publish(), 0);
    });

    it('do not count one of which a silent minion has a run', async () => {
      takeOver();
      const runs = [[name, 1 as RunNumber]] as const;
      adoptRecordedRuns(fleet, minion, {remainingMs: 5_000, runs}, NOW);
      assert.equal(await publish(), 0);
    });

    describe('that awaits the report of a minion', () => {
      /** Lets the journal store the job, changes it, and lets another owner read what is stored in the end. */
      async function takeOverStored(change: () => void): Promise<void> {
        const store = new MemoryStore();
        const ownership = await acquireOwnership(store);
        const onFenced = (): void => assert.fail('another owner');
        const {dirtyJobs} = fleet;
        const journal = new Journal({
          dirtyJobs,
          events: SILENT_EVENTS,
          onFenced,
          ownership,
          store,
        });
        void journal.run();
        await journal.flush();
        change();
        await journal.flush();
        journal.stop();
        const stored = (await getKey(store, formatJobKey(step.job.id, 'progress')))._unsafeUnwrap();
        takeOver(stored && decodeProgress(stored.value)._unsafeUnwrap());
        new UnreportedMinions().add(minion);
        fleet.recoveryRevision = step.job.revision + 1;
      }

      it('do not count one that a minion began after its start was stored', async () => {
        const {number, task} = run;
        await takeOverStored(() => {
          list([{checkpoint: undefined, number, percent: 0, reading: 0, task}], undefined);
        });
        assert.equal(await publish(3), 0);
      });

      it('count one of which no start was decided on', async () => {
        step = createStep(2);
        fleet.jobs.set(step.job.id, step.job);
        await takeOverStored(() => undefined);
        assert.equal(await publish(3), 1);
      });

      it('count one whose start was never sent, once the minion has reported', async () => {
        await takeOverStored(() => undefined);
        list([], undefined);
        minion.areRunsKnown = true;
        assert.equal(await publish(2), 1);
      });
    });
  });

  describe('with the outlook of the cell', () => {
    /** Publishes some times and returns what was written. */
    async function publishRounds(
      count: number,
      publishesOutlook: boolean,
      intervalMs = QUEUE_LENGTHS_REPEAT_MS,
    ): Promise<string[]> {
      const store = new MemoryStore();
      const ownership = await acquireOwnership(store);
      const written: string[] = [];
      const commit = store.commit.bind(store);
      store.commit = (transaction) => {
        const value = transaction.then.find((operation) => operation.kind === 'put')?.value;
        written.push(...(value === undefined ? [] : [value.toString()]));
        return commit(transaction);
      };
      let now = 0;
      const clock: Clock = {monotonic: () => now as Instant, wall: () => (1_000 + now) as WallTime};
      let rounds = 0;
      await new QueueLengthPublisher({
        clock,
        events: SILENT_EVENTS,
        fleet,
        ownership,
        publishesOutlook,
        store,
      }).run(() => {
        rounds += 1;
        now = rounds * intervalMs;
        return rounds <= count;
      });
      return written;
    }

    it('are written again while nothing changes, as they are old otherwise', async () => {
      const written = (await publishRounds(3, true)).map(
        (text) => JSON.parse(text) as QueueLengths,
      );
      assert.deepEqual(
        written.map(({outlook}) => outlook?.writtenAt),
        [1, 2, 3].map((round) => 1_000 + round * QUEUE_LENGTHS_REPEAT_MS),
      );
      for (const {counts, outlook} of written) {
        assert.deepEqual(counts, {proofs: 1});
        assert.equal(outlook?.groups[0]?.minions, 1);
      }
    });

    it('are written without it in a fleet whose jobs have no places', async () => {
      const text = `{"counts":{"proofs":1},"validMs":${QUEUE_LENGTHS_VALID_MS}}`;
      assert.deepEqual(await publishRounds(3, false), [text, text, text]);
    });

    it('are left as they are until then, where they have not changed', async () => {
      const intervalMs = QUEUE_LENGTHS_REPEAT_MS - 1;
      assert.equal((await publishRounds(2, false, intervalMs)).length, 1);
      assert.equal((await publishRounds(3, false, intervalMs)).length, 2);
    });
  });
});
