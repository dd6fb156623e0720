import type {Instant, WallTime} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {MinionState, RunResult} from '@nutmegproxy/scheduling';

import {ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {SilentMinionRecord} from '../../RosterEntry.ts';

import {recordRunEnds} from '../../RecordedRunEnds.ts';
import {Roster} from '../../Roster.ts';
import {createSilentRecord} from '../../SilentRecords.ts';
import {acquireOwnership, createMinion, createStep} from './OwnerSamples.ts';

const NOW = 0 as Instant;
const WALL = 0 as WallTime;
const EXPIRES_AT = 7_900 as Instant;
const FIRST_TASK = '0000000000000001.0.0.0';
const SECOND_TASK = '0000000000000002.0.0.0';
const STORED = {flush: () => Promise.resolve()};

describe('recordRunEnds', () => {
  let first: Run;
  let fleet: Fleet;
  let minion: MinionState;
  let roster: Roster;
  let store: MemoryStore;

  function startRun(job: number): Run {
    const step = createStep(job, {longRunning: true});
    fleet.jobs.set(step.job.id, step.job);
    const run = fleet.startRun(step, 0, minion, NOW);
    run.confirmedAt = NOW;
    return run;
  }

  function markSilent(unstoredResults: readonly RunResult[] = []): SilentMinionRecord {
    const silent = createSilentRecord(fleet, minion, unstoredResults, {now: NOW, wall: WALL});
    roster.markSilent(minion.description, silent, EXPIRES_AT);
    return silent;
  }

  beforeEach(async () => {
    store = new MemoryStore();
    const ownership = await acquireOwnership(store);
    const onFenced = (): void => undefined;
    roster = new Roster({
      clock: new ManualClock(),
      events: SILENT_EVENTS,
      onFenced,
      ownership,
      store,
    });
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    minion.lastAnswerAt = NOW;
    fleet.minions.set(minion.id, minion);
    first = startRun(1);
    startRun(2);
  });

  afterEach(async () => {
    roster.close();
    await store.close();
  });

  it('removes the runs that are over, and nothing else', async () => {
    const silent = markSilent();
    assert.equal(silent.suspects?.runs.length, 2);
    fleet.recordLostRun(first, 'minion restarted');
    await recordRunEnds(roster, STORED, minion, [first]);
    const expected = {...silent, runs: [[SECOND_TASK, 1]]};
    assert.deepEqual(roster.find(minion.id)?.silent, expected);
    assert.equal(roster.findExpiry(minion.id), EXPIRES_AT);
  });

  it('keeps them until what their end says of their tasks is stored', async () => {
    const silent = markSilent();
    fleet.recordLostRun(first, 'minion restarted');
    let finishFlush = (): void => undefined;
    const flushed = new Promise<void>((resolve) => {
      finishFlush = resolve;
    });
    const recorded = recordRunEnds(roster, {flush: () => flushed}, minion, [first]);
    assert.equal(roster.find(minion.id)?.silent, silent);
    finishFlush();
    await recorded;
    assert.deepEqual(roster.find(minion.id)?.silent?.runs, [[SECOND_TASK, 1]]);
  });

  it('keeps a run that the minion has listed again before it fell silent once more', async () => {
    markSilent();
    fleet.recordLostRun(first, 'minion restarted');
    const recorded = recordRunEnds(roster, STORED, minion, [first]);
    const {number, step, task} = first;
    fleet.adoptRun(step, task, number, minion, NOW);
    markSilent();
    await recorded;
    const runs = roster.find(minion.id)?.silent?.runs;
    assert.deepEqual(runs?.toSorted(), [
      [FIRST_TASK, 1],
      [SECOND_TASK, 1],
    ]);
  });

  it('keeps a run whose result the minion has listed meanwhile, and that is not stored yet', async () => {
    markSilent();
    fleet.recordLostRun(first, 'minion restarted');
    let finishFlush = (): void => undefined;
    const flushed = new Promise<void>((resolve) => {
      finishFlush = resolve;
    });
    const recorded = recordRunEnds(roster, {flush: () => flushed}, minion, [first]);
    const {number, step, task} = first;
    fleet.applyResult(step, task, number, 'done', undefined);
    const result: RunResult = {checkpoint: undefined, number, outcome: 'done', sequence: 1, task};
    markSilent([result]);
    finishFlush();
    await recorded;
    assert.deepEqual(roster.find(minion.id)?.silent?.runs.toSorted(), [
      [FIRST_TASK, 1],
      [SECOND_TASK, 1],
    ]);
  });

  it('does not record a minion as silent that responds again', async () => {
    markSilent();
    fleet.recordLostRun(first, 'minion restarted');
    const recorded = recordRunEnds(roster, STORED, minion, [first]);
    void roster.clearRecord(minion.description);
    await recorded;
    assert.equal(roster.find(minion.id)?.silent, undefined);
  });
});
