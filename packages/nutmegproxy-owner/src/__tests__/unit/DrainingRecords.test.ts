import type {Instant} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';
import type {MinionState, RunResult} from '@nutmegproxy/scheduling';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {DrainingRecords} from '../../DrainingRecords.ts';
import {Roster} from '../../Roster.ts';
import {acquireOwnership, createMinion, createStep} from './OwnerSamples.ts';

const LASTING_JOB = 1;
const SHORT_JOB = 2;
const LASTING_TASK = '0000000000000001.0.0.0';
const SHORT_TASK = '0000000000000002.0.0.0';
/** Times in milliseconds at which a minion begins to drain, and two reviews later. */
const DRAINS_AT = 0 as Instant;
const SOON = 10 as Instant;
const LATER = 1_000 as Instant;

function createStopped({number, task}: Run, sequence: number): RunResult {
  return {checkpoint: undefined, number, outcome: 'stopped', sequence, task};
}

describe('DrainingRecords', () => {
  let fleet: Fleet;
  let lasting: Run;
  let minion: MinionState;
  let records: DrainingRecords;
  let roster: Roster;
  let short: Run;
  let store: MemoryStore;
  let unstoredResults: RunResult[];

  function startRun(step: StepState, on = minion): Run {
    fleet.jobs.set(step.job.id, step.job);
    return fleet.startRun(step, 0, on, DRAINS_AT);
  }

  function listRecorded(now: Instant): unknown {
    records.update([{minion, unstoredResults}], now);
    return roster.find(minion.id)?.draining?.runs;
  }

  beforeEach(async () => {
    store = new MemoryStore();
    const clock = new ManualClock();
    const ownership = await acquireOwnership(store);
    const onFenced = (): void => undefined;
    roster = new Roster({clock, events: SILENT_EVENTS, onFenced, ownership, store});
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    minion.description = {...minion.description, isDraining: true};
    minion.areRunsKnown = true;
    fleet.minions.set(minion.id, minion);
    lasting = startRun(createStep(LASTING_JOB, {longRunning: true}));
    short = startRun(createStep(SHORT_JOB));
    unstoredResults = [];
    records = new DrainingRecords({clearRecord: () => undefined, fleet, ownership, roster});
  });

  afterEach(async () => {
    roster.close();
    await store.close();
  });

  it('name the runs of a minion that begins to drain', () => {
    assert.deepEqual(listRecorded(DRAINS_AT), [
      [LASTING_TASK, 1],
      [SHORT_TASK, 1],
    ]);
  });

  describe('of a minion on which one run is over', () => {
    beforeEach(() => {
      listRecorded(DRAINS_AT);
      fleet.finishRun(lasting, 'stopped', undefined, SOON);
    });

    it('stop naming it while its task waits', () => {
      assert.deepEqual(listRecorded(LATER), [[SHORT_TASK, 1]]);
    });

    it('are not written for each end at once', () => {
      assert.deepEqual(listRecorded(SOON), [
        [LASTING_TASK, 1],
        [SHORT_TASK, 1],
      ]);
    });

    it('stop naming it although its result is not stored, since its task starts again in any case', () => {
      unstoredResults = [createStopped(lasting, 1)];
      assert.deepEqual(listRecorded(LATER), [[SHORT_TASK, 1]]);
    });

    it('keep naming one that does not last while its result is not stored', () => {
      unstoredResults = [createStopped(lasting, 1), createStopped(short, 2)];
      fleet.finishRun(short, 'stopped', undefined, SOON);
      assert.deepEqual(listRecorded(LATER), [[SHORT_TASK, 1]]);
    });

    it('are not written while its task runs elsewhere', () => {
      const other = createMinion();
      other.description = {...other.description, id: brand('m2')};
      fleet.minions.set(other.id, other);
      startRun(lasting.step, other);
      assert.deepEqual(listRecorded(LATER), [
        [LASTING_TASK, 1],
        [SHORT_TASK, 1],
      ]);
    });
  });

  it('are not written for a task of a job that is over', () => {
    listRecorded(DRAINS_AT);
    fleet.cancelJob(lasting.step.job);
    fleet.finishRun(lasting, 'stopped', undefined, SOON);
    assert.deepEqual(listRecorded(LATER), [
      [LASTING_TASK, 1],
      [SHORT_TASK, 1],
    ]);
  });

  // Guards against an unchanged record that is written at each review.
  it('are not written again while two results of one waiting task are not stored', () => {
    unstoredResults = [createStopped(short, 1)];
    fleet.finishRun(short, 'stopped', undefined, DRAINS_AT);
    const again = startRun(short.step);
    fleet.finishRun(again, 'stopped', undefined, DRAINS_AT);
    unstoredResults.push(createStopped(again, 2));
    const recorded = listRecorded(DRAINS_AT);
    assert.deepEqual(recorded, [
      [LASTING_TASK, 1],
      [SHORT_TASK, 1],
      [SHORT_TASK, 2],
    ]);
    // Each write makes a record of its own.
    assert.equal(listRecorded(LATER), recorded);
  });

  it('name nothing as soon as no run is left', () => {
    listRecorded(DRAINS_AT);
    fleet.finishRun(lasting, 'stopped', undefined, SOON);
    fleet.finishRun(short, 'done', undefined, SOON);
    assert.deepEqual(listRecorded(SOON), []);
  });
});
