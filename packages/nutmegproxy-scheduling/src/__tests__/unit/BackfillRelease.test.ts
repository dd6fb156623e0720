/** Backfill gives way to interrupted lasting tasks with its memory, as it does with its processors. */

import type {Run} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {at, queue, SampleFleet, shape, wallAt} from './Samples.ts';

const TICK_MS = 100;
/** Duration of a stop, in which its run works on. */
const STOP_MS = 300;
const BACKFILL_MS = 4_000;
/** Time in milliseconds for which an interrupted task may wait where it fits without backfill, as the users specify. */
const MAX_WAIT_MS = 3_000;
const INTERRUPTED_AT_MS = 6_000;
const UNTIL_MS = 30_000;
/** Memory in MB of a backfill task, of which there are always more than the minions have room for. */
const BACKFILL_MB = 1_000;
const LASTING_MB = 6_000;

describe('An interrupted lasting task beside backfill that holds the memory', () => {
  let ends: Map<Run, number>;
  let lasting: Run;
  let minions: readonly MinionState[];
  let sample: SampleFleet;
  let stopped: Run[];

  beforeEach(() => {
    sample = new SampleFleet(0, [queue('lasting'), queue('backfill', {priority: 1})]);
    const capacity = {cpuMilli: 16_000, gpus: 0, memoryMb: 12_000};
    minions = ['m1', 'm2'].map((name) => sample.addMinion(name, {capacity}));
    ends = new Map();
    stopped = [];
  });

  function submitBackfill(change: Parameters<typeof shape>[0] = {}): void {
    for (let number = 0; number < 8; number += 1) {
      const resources = {cpuMilli: 1_000, gpus: 0, memoryMb: BACKFILL_MB};
      sample.addJob('backfill', [shape({count: 8, fillsSpareCpu: true, resources, ...change})]);
    }
  }

  function submitLasting(): void {
    const resources = {cpuMilli: 4_000, gpus: 0, memoryMb: LASTING_MB};
    sample.addJob('lasting', [shape({longRunning: true, resources})]);
    const [run] = sample.plan(0);
    assert.ok(run);
    lasting = run;
    run.phase = 'running';
  }

  /** Plays one tick; the ends of backfill are spread over time. */
  function tick(now: number): readonly Run[] {
    const {fleet} = sample;
    for (const [run, endsAt] of ends) {
      if (endsAt <= now) {
        ends.delete(run);
        const outcome = run.phase === 'stopping' ? 'stopped' : 'done';
        fleet.finishRun(run, outcome, undefined, at(now));
      }
    }
    const starts = sample.plan(now);
    for (const [order, run] of starts.entries()) {
      run.phase = 'running';
      ends.set(run, run.step.shape.longRunning ? Infinity : now + BACKFILL_MS - order * 300);
    }
    for (const {number, task} of fleet.pendingStops.splice(0)) {
      for (const run of ends.keys()) {
        if (run.number === number && formatTaskName(run.task) === formatTaskName(task)) {
          ends.set(run, now + STOP_MS);
          stopped.push(run);
        }
      }
    }
    return starts;
  }

  /** Plays until the task runs again after its minion has left; returns how long it waited. */
  function playInterruption(): number {
    submitLasting();
    submitBackfill();
    for (let now = TICK_MS; now < INTERRUPTED_AT_MS; now += TICK_MS) {
      tick(now);
    }
    for (const run of minions.flatMap(({runs}) => [...runs])) {
      if (run.minion === lasting.minion) {
        ends.delete(run);
        sample.fleet.recordLostRun(run, 'left');
      }
    }
    sample.fleet.minions.delete(lasting.minion);
    for (let now = INTERRUPTED_AT_MS; now < UNTIL_MS; now += TICK_MS) {
      if (tick(now).some(({step}) => step === lasting.step)) {
        return now - INTERRUPTED_AT_MS;
      }
    }
    return Infinity;
  }

  it('runs again within 3 s on a minion that has room for it once backfill has stopped', () => {
    const waitedMs = playInterruption();
    assert.ok(waitedMs <= MAX_WAIT_MS, `waited for ${waitedMs} ms`);
  });

  it('does not stop more backfill than it needs', () => {
    playInterruption();
    assert.ok(stopped.length <= LASTING_MB / BACKFILL_MB, `${stopped.length} runs were stopped`);
  });

  it('does not stop backfill where it would not fit without it', () => {
    submitLasting();
    const resources = {cpuMilli: 9_000, gpus: 0, memoryMb: LASTING_MB + 1_000};
    sample.addJob('lasting', [shape({count: 2, longRunning: true, resources})], 0, 'running');
    sample.addMinion('m3', {capacity: {cpuMilli: 8_000, gpus: 0, memoryMb: 12_000}});
    submitBackfill();
    for (let now = TICK_MS; now < INTERRUPTED_AT_MS; now += TICK_MS) {
      tick(now);
    }
    assert.deepEqual(stopped, []);
  });

  it('does not stop backfill for a task that has not run', () => {
    submitBackfill();
    tick(0);
    const resources = {cpuMilli: 4_000, gpus: 0, memoryMb: LASTING_MB};
    sample.addJob('lasting', [shape({longRunning: true, resources})]);
    for (let now = TICK_MS; now < INTERRUPTED_AT_MS; now += TICK_MS) {
      tick(now);
    }
    assert.deepEqual(stopped, []);
  });

  it('does not stop backfill whose disruption budget would be exceeded', () => {
    submitBackfill({disruptionBudget: 1});
    tick(0);
    const resources = {cpuMilli: 4_000, gpus: 0, memoryMb: LASTING_MB};
    sample.addJob('lasting', [shape({longRunning: true, resources})], 0, 'running');
    for (let now = TICK_MS; now < INTERRUPTED_AT_MS; now += TICK_MS) {
      tick(now);
    }
    assert.deepEqual(stopped, []);
  });

  it('lets backfill work for 10 s before it stops again, where other work has taken the room', () => {
    submitBackfill();
    tick(0);
    const resources = {cpuMilli: 1_000, gpus: 0, memoryMb: 12_000};
    sample.addJob('lasting', [shape({longRunning: true, resources})], 0, 'running');
    tick(TICK_MS);
    const held = minions.find(({backfillHeldUntil}) => backfillHeldUntil > 0);
    assert.ok(held);
    const other = sample.addJob('lasting', [shape({resources: {...resources, memoryMb: 500}})]);
    const [first] = [...other.openOccurrences(wallAt(0))].flat();
    assert.ok(first);
    sample.fleet.startRun(first, 0, held, at(TICK_MS));
    const stops: number[] = [];
    for (let now = 2 * TICK_MS; now <= 12_000; now += TICK_MS) {
      const before = stopped.length;
      tick(now);
      if (stopped.slice(before).some(({minion}) => minion === held.id)) {
        stops.push(now);
      }
    }
    assert.deepEqual(stops, []);
    assert.notEqual([...held.runs].filter(({step}) => step.shape.fillsSpareCpu).length, 0);
  });
});
