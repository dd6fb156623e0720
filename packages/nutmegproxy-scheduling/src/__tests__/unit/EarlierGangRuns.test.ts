import type {JobState, RunNumber, StepState, TaskRef} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionListing, RunReport} from '../../ListingReconciler.ts';
import type {MinionState} from '../../MinionState.ts';

import {reconcileListing} from '../../ListingReconciler.ts';
import {at, SampleFleet, shape} from './Samples.ts';

const EARLIER = 1_001 as RunNumber;
const PRESENT = 2_001 as RunNumber;

// Guards against a sound gang that is stopped since a member's run of an earlier start is over.
describe('A gang that runs again, of which a former owner left an earlier run of a member', () => {
  let earlier: MinionState;
  let job: JobState;
  let minions: MinionState[];
  let sample: SampleFleet;
  let step: StepState;

  beforeEach(() => {
    sample = new SampleFleet(0);
    earlier = sample.addMinion('m1');
    minions = [sample.addMinion('m2'), sample.addMinion('m3')];
    job = sample.addJob('proofs', [shape({count: 2, gang: true})]);
    const first = job.occurrence(0)?.[0];
    assert.ok(first);
    step = first;
  });

  function nameTask(index: number): TaskRef {
    return {index, job: job.id, occurrence: 0, step: 0};
  }

  function list(minion: MinionState | undefined, listing: Partial<MinionListing>): void {
    assert.ok(minion);
    const empty = {bornAt: 1, clockMs: 0, ended: [], mayOmitResults: false, running: []};
    const times = {appliedThrough: 0, now: at(101), requestedAt: at(100)};
    reconcileListing(sample.fleet, minion, {...empty, ...listing}, times);
  }

  function listMember(index: number): void {
    const progress = {checkpoint: undefined, percent: 50, reading: undefined};
    const report: RunReport = {...progress, number: PRESENT, task: nameTask(index)};
    list(minions[index], {running: [report]});
  }

  function adoptEarlier(): void {
    const run = sample.fleet.adoptRun(step, nameTask(0), EARLIER, earlier, at(50));
    run.knownFrom = 'record';
  }

  function loseRun(number: RunNumber): void {
    const [run] = step.runsOf(0);
    assert.equal(run?.number, number);
    sample.fleet.recordLostRun(run, 'over');
  }

  function listStops(): readonly number[] {
    return sample.fleet.pendingStops.map(({task: {index}}) => index);
  }

  it('goes on when another minion lists the present run of that member', () => {
    adoptEarlier();
    listMember(1);
    listMember(0);
    assert.deepEqual(listStops(), []);
  });

  it('goes on when the earlier run turns out to be over', () => {
    adoptEarlier();
    listMember(1);
    loseRun(EARLIER);
    assert.deepEqual(listStops(), []);
  });

  it('goes on when the minion of the earlier run lists its result', () => {
    listMember(0);
    listMember(1);
    const result = {
      checkpoint: undefined,
      number: EARLIER,
      outcome: 'stopped' as const,
      sequence: 1,
    };
    list(earlier, {ended: [{...result, task: nameTask(0)}]});
    assert.deepEqual(listStops(), []);
  });

  it('is stopped when the present run of a member is lost', () => {
    listMember(0);
    listMember(1);
    loseRun(PRESENT);
    assert.deepEqual(listStops(), [1]);
  });

  it('is stopped when the present run of a member fails', () => {
    listMember(0);
    listMember(1);
    const [run] = step.runsOf(0);
    assert.ok(run);
    sample.fleet.finishRun(run, 'failed', undefined, at(200));
    assert.deepEqual(listStops(), [1]);
  });
});
