import type {CrashEvidence, JobState, Run} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {TaskVerdict} from '../../CrashVerdict.ts';
import type {MinionState} from '../../MinionState.ts';

import {CRASH_VERDICTS} from '../../CrashVerdict.ts';
import {confirm, crash, crashOf, play, respond, startOn} from './CrashSamples.ts';
import {at, SampleFleet, shape} from './Samples.ts';

describe('A task that crashes its minion some time after its start', () => {
  /** Counts the starts of the most started task while each run crashes its minion at an age. */
  function countStarts(sample: SampleFleet, jobs: readonly JobState[], ageMs: number): number {
    const starts = new Map<string, number>();
    const seen = new Set<Run>();
    play(sample, 0, 60_000, (now) => {
      const due: MinionState[] = [];
      for (const minion of sample.fleet.minions.values()) {
        for (const run of minion.runs) {
          if (!jobs.includes(run.step.job)) {
            continue;
          }
          if (!seen.has(run)) {
            const name = formatTaskName(run.task);
            seen.add(run);
            starts.set(name, (starts.get(name) ?? 0) + 1);
          }
          if (now - (run.confirmedAt ?? now) >= ageMs) {
            due.push(minion);
          }
        }
      }
      crash(sample, [...new Set(due)], now);
    });
    return Math.max(...starts.values());
  }

  it('is started five times at most though no minion is free of other runs', () => {
    const sample = new SampleFleet(4);
    const good = sample.addJob('proofs', [shape({count: 8, longRunning: true, maxPerMinion: 2})]);
    sample.plan(0);
    const deadly = sample.addJob('proofs', [shape()]);
    const starts = countStarts(sample, [deadly], 3_000);
    assert.ok(starts <= 5, `${starts} starts`);
    assert.deepEqual([good.isFinal, deadly.isFinal], [false, false]);
  });

  it('is found guilty after three crashes though other machines failed at the time of each', () => {
    const crashes = [1, 2, 3].map((run) => ({
      address: `m${run}:1`,
      ageMs: 0,
      evidence: 'coincident' as const,
      minion: `m${run}` as MinionState['id'],
      run: run as Run['number'],
    }));
    assert.equal(CRASH_VERDICTS.byTrial(crashes.slice(0, 2)), 'suspect');
    assert.equal(CRASH_VERDICTS.byTrial(crashes), 'guilty');
  });

  describe('and under whose starts other crashes may have been cuts', () => {
    function judge(...evidence: readonly CrashEvidence[]): TaskVerdict {
      const crashes = evidence.map((each, index) => ({
        address: `m${index % 2}:1`,
        ageMs: 0,
        evidence: each,
        minion: `m${index % 2}` as MinionState['id'],
        run: (index + 1) as Run['number'],
      }));
      return CRASH_VERDICTS.byTrial(crashes);
    }

    it('is found guilty after three crashes, one of them alone on its minion', () => {
      assert.equal(judge('unconfirmed', 'alone'), 'suspect');
      assert.equal(judge('unconfirmed', 'alone', 'unconfirmed'), 'guilty');
      assert.equal(judge('coincident', 'unconfirmed', 'alone'), 'guilty');
    });

    it('is not found guilty after three of them, when machines may have failed each time', () => {
      assert.equal(judge('unconfirmed', 'unconfirmed', 'unconfirmed'), 'suspect');
      assert.equal(judge('coincident', 'unconfirmed', 'coincident'), 'suspect');
      assert.equal(judge('unconfirmed', 'shared', 'unconfirmed'), 'suspect');
    });
  });

  it('is started five times at most on idle minions', () => {
    const sample = new SampleFleet(6);
    const deadly = sample.addJob('proofs', [shape()]);
    const starts = countStarts(sample, [deadly], 3_000);
    assert.ok(starts <= 5, `${starts} starts`);
  });

  for (const ageMs of [0, 400, 3_000]) {
    it(`is started five times at most though tasks of two jobs do the same, each ${ageMs} ms after its start`, () => {
      const sample = new SampleFleet(8);
      const jobs = [0, 1].map(() => sample.addJob('proofs', [shape()]));
      const starts = countStarts(sample, jobs, ageMs);
      assert.ok(starts <= 5, `${starts} starts`);
      assert.ok(jobs.every(({isFinal}) => !isFinal));
    });
  }

  it('is started five times at most though another task of its job does the same at the same time', () => {
    const sample = new SampleFleet(6);
    const deadly = sample.addJob('proofs', [shape({count: 2, maxPerMinion: 1})]);
    const starts = countStarts(sample, [deadly], 3_000);
    assert.ok(starts <= 5, `${starts} starts`);
  });
});

describe('A good job', () => {
  it('is not given up when no task of its gang has lost two minions', () => {
    const sample = new SampleFleet(8);
    const gang = sample.addJob('proofs', [shape({count: 3, gang: true, maxPerMinion: 1})]);
    const step = gang.occurrence(0)?.[0];
    for (const [round, index] of [0, 1].entries()) {
      const now = round * 10_000;
      for (const each of sample.fleet.minions.values()) {
        each.missedCalls = 0;
      }
      sample.plan(now);
      const run = step?.runsOf(index)[0];
      const minion = run && sample.fleet.minions.get(run.minion);
      assert.ok(minion);
      for (const each of sample.fleet.minions.values()) {
        respond(sample, each, now + 50);
      }
      crash(sample, [minion], now + 100);
      for (const other of [...step.runs()]) {
        sample.fleet.discardRun(other);
      }
      sample.fleet.pendingStops.splice(0);
    }
    play(sample, 13_000, 20_000);
    assert.notEqual(gang.status, 'failed');
  });

  it('is not given up when its rack fails twice, with starts on each minion of the rack', () => {
    const sample = new SampleFleet(0);
    const rack = Array.from({length: 8}, (_, each) => sample.addMinion(`m${each}`));
    const jobs = rack.map((minion) => {
      const job = sample.addJob('proofs', [shape()]);
      startOn(sample, job, minion, 0);
      return job;
    });
    crash(sample, rack, 100);
    // New work fills the minions that are back, as the others do.
    const stream = rack.map(() => sample.addJob('proofs', [shape({count: 4})]));
    for (const minion of rack) {
      minion.missedCalls = 0;
    }
    sample.plan(2_200);
    for (const minion of rack) {
      confirm(minion, 2_200);
      minion.lastAnswerAt = at(2_210);
    }
    assert.ok(rack.every(({runs}) => runs.size > 0));
    crash(sample, rack, 2_300);
    play(sample, 4_400, 12_000);
    assert.deepEqual(
      [...jobs, ...stream].filter(({status}) => status === 'failed').map(({id}) => id),
      [],
    );
  });

  it('is not given up for a stored trial that was never sent', () => {
    const sample = new SampleFleet(4);
    const [first, second] = [...sample.fleet.minions.values()];
    assert.ok(first && second);
    const job = sample.addJob('proofs', [shape()]);
    startOn(sample, job, first, 0);
    crash(sample, [first], 10);
    // The former owner stored a trial and was killed before it sent it.
    const step = job.occurrence(0)?.[0];
    step?.crashes.trials.set(0, {bornAt: 1, minion: second.id, run: 2 as Run['number']});
    sample.fleet.runNumberBase = 1_000;
    second.hasReported = false;
    respond(sample, second, 2_500);
    second.hasReported = true;
    // Its minion is alive and has no run. It fails a minute later, while the task runs elsewhere.
    const elsewhere = [...sample.fleet.minions.values()][2];
    assert.ok(elsewhere);
    startOn(sample, job, elsewhere, 62_300);
    second.lastAnswerAt = at(62_500);
    crash(sample, [second], 62_500);
    assert.equal(step?.crashes.of(0).length, 1);
  });
});

describe('A lasting job', () => {
  it('has no task that is idle for nine seconds in the calm after two failures of machines', () => {
    const sample = new SampleFleet(12);
    const job = sample.addJob('proofs', [shape({count: 6, longRunning: true, maxPerMinion: 3})]);
    const step = job.occurrence(0)?.[0];
    assert.ok(step);
    const [first, second] = [...sample.fleet.minions.values()];
    assert.ok(first && second);
    // Three tasks are on each of two minions, which fail one after the other.
    for (let task = 0; task < 3; task += 1) {
      startOn(sample, job, first, 0, task);
    }
    first.lastAnswerAt = at(4_000);
    crash(sample, [first], 4_000);
    for (let task = 0; task < 3; task += 1) {
      startOn(sample, job, second, 6_100, task);
    }
    second.lastAnswerAt = at(10_100);
    crash(sample, [second], 10_100);
    const idleSince = new Map(Array.from({length: 6}, (_, index) => [index, 12_100]));
    let longestMs = 0;
    play(sample, 12_100, 60_000, (now) => {
      for (const [index, since] of idleSince) {
        if (step.runsOf(index).length > 0) {
          idleSince.set(index, now);
        }
        longestMs = Math.max(longestMs, now - since);
      }
    });
    assert.ok(longestMs < 9_000, `${longestMs} ms`);
  });
});

describe('A suspected task', () => {
  it('does not wait for ever when it avoids all minions', () => {
    const sample = new SampleFleet(2);
    const [first, second] = [...sample.fleet.minions.values()];
    assert.ok(first && second);
    const job = sample.addJob('proofs', [shape({count: 2})]);
    const step = job.occurrence(0)?.[0];
    for (const [round, minion] of [first, second].entries()) {
      startOn(sample, job, minion, round * 4_000, 0);
      minion.lastAnswerAt = at(round * 4_000 + 1_000);
      crash(sample, [minion], round * 4_000 + 1_000);
      // It stalled or found no room there, too.
      step?.avoid(0, minion.id, at(round * 4_000 + 1_000));
    }
    play(sample, 8_000, 60_000);
    assert.equal(step?.runsOf(0).length, 1);
  });
});

describe('Suspects that wait for trials', () => {
  /** Time in milliseconds from the last crash under a task within which it has to start. */
  const MAX_WAIT_MS = 10_000;
  /** All of them together take less than half of the capacity. */
  const RESOURCES = {cpuMilli: 200, gpus: 0, memoryMb: 10};

  /** Adds jobs with a suspected task each, as an owner reads them that has not seen the crashes. */
  function addSuspects(sample: SampleFleet, count: number, longRunning: boolean): JobState[] {
    const minions = [...sample.fleet.minions.values()].slice(0, 2);
    return Array.from({length: count}, () => {
      const job = sample.addJob('proofs', [shape({longRunning, resources: RESOURCES})]);
      const crashes = job.occurrence(0)?.[0]?.crashes;
      for (const [index, minion] of minions.entries()) {
        const crash = {...crashOf(minion, 490, index + 1), evidence: 'unconfirmed' as const};
        crashes?.record(0, crash, at(0));
      }
      return job;
    });
  }

  /** Returns when the last of the jobs starts, in milliseconds. */
  function findLastStart(sample: SampleFleet, jobs: readonly JobState[]): number {
    const startedAt = new Map<JobState, number>();
    play(sample, 0, 60_000, (now) => {
      for (const run of [...sample.fleet.minions.values()].flatMap(({runs}) => [...runs])) {
        const {
          job,
          shape: {longRunning},
        } = run.step;
        startedAt.set(job, startedAt.get(job) ?? now);
        if (!longRunning && now - run.sentAt >= 1_000) {
          sample.fleet.finishRun(run, 'done', undefined, at(now));
        }
      }
    });
    return Math.max(...jobs.map((job) => startedAt.get(job) ?? Infinity));
  }

  for (const longRunning of [false, true]) {
    it(`start in time though the fleet has few trials for them (lasting: ${longRunning})`, () => {
      const sample = new SampleFleet(12);
      const lastMs = findLastStart(sample, addSuspects(sample, 100, longRunning));
      assert.ok(lastMs <= MAX_WAIT_MS, `the last one started after ${lastMs} ms`);
    });
  }

  it('start in time though they are tasks of one lasting job, which has one trial at a time', () => {
    const sample = new SampleFleet(12);
    const job = sample.addJob('proofs', [
      shape({count: 40, longRunning: true, resources: RESOURCES}),
    ]);
    const step = job.occurrence(0)?.[0];
    const [first, second] = [...sample.fleet.minions.values()];
    assert.ok(step && first && second);
    for (let index = 0; index < 40; index += 1) {
      step.crashes.record(index, crashOf(first, 490, 1), at(0));
      step.crashes.record(index, crashOf(second, 490, 2), at(0));
    }
    play(sample, 0, MAX_WAIT_MS);
    assert.equal(step.waiting.size, 0);
  });
});
