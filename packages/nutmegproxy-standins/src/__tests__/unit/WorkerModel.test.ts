import type {TaskStart} from '@nutmegproxy/schema';

import {ManualClock} from '@nutmegproxy/core';
import {deepEqual, equal} from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ClockReading} from '../../index.ts';

import {WorkerModel} from '../../index.ts';

class Bench {
  readonly clock = new ManualClock(0);
  readonly model = new WorkerModel('w1', {accelerators: 0, cpu: 2, memoryMb: 1000});

  now(): ClockReading {
    return {monotonic: this.clock.monotonic(), wall: this.clock.wall()};
  }

  start(attempt: string, input: object, overrides: Partial<TaskStart> = {}): boolean {
    const start: TaskStart = {
      attempt,
      entry: 'e',
      input: JSON.stringify(input),
      leaseMs: 10_000,
      reserved: {accelerators: 0, cpu: 1, memoryMb: 100},
      startBefore: this.clock.wall() + 1000,
      task: `task-${attempt}`,
      ...overrides,
    };
    return this.model.start([start], this.now())[0]?.started ?? false;
  }

  states(sync = {}): Record<string, string> {
    const {attempts} = this.model.sync(sync, this.now());
    return Object.fromEntries(attempts.map(({attempt, state}) => [attempt, state]));
  }
}

describe('WorkerModel', () => {
  describe('start', () => {
    it('is idempotent, also after the attempt has ended', () => {
      const bench = new Bench();
      equal(bench.start('a', {workMs: 100}), true);
      equal(bench.start('a', {workMs: 100}), true);
      bench.clock.advance(100);
      equal(bench.start('a', {workMs: 100}), true);
      deepEqual(bench.states(), {a: 'succeeded'});
      equal(bench.model.history.length, 1);
    });

    it('is refused after startBefore', () => {
      const bench = new Bench();
      bench.clock.advance(50);
      equal(bench.start('a', {}, {startBefore: 49}), false);
      deepEqual(bench.states(), {});
    });
  });

  describe('advance', () => {
    it('slows tasks down when they use more CPU than the capacity', () => {
      const bench = new Bench();
      bench.start('a', {cpu: 2, workMs: 100});
      bench.start('b', {cpu: 2, workMs: 200});
      bench.clock.advance(1000);
      deepEqual(bench.states(), {a: 'succeeded', b: 'succeeded'});
      const ends = bench.model.history.map(({endedAt}) => endedAt);
      deepEqual(ends, [200, 300]);
    });

    it('slows the entries in the noiseTo of a task', () => {
      const bench = new Bench();
      const work = {cpu: 0.5, workMs: 100};
      bench.start('noisy', {cpu: 0.5, noiseTo: {victim: 0.5}, workMs: 1000});
      bench.start('a', work, {entry: 'victim'});
      bench.start('b', work, {entry: 'other'});
      bench.clock.advance(100);
      deepEqual(bench.states(), {a: 'running', b: 'succeeded', noisy: 'running'});
      bench.clock.advance(100);
      deepEqual(bench.states(), {a: 'succeeded', b: 'succeeded', noisy: 'running'});
    });

    it('expires leases that are not renewed', () => {
      const bench = new Bench();
      bench.start('a', {workMs: 9000}, {leaseMs: 100});
      bench.start('b', {workMs: 9000}, {leaseMs: 100});
      bench.clock.advance(80);
      bench.states({leaseMs: 100, renew: ['a']});
      bench.clock.advance(50);
      deepEqual(bench.states(), {a: 'running', b: 'lapsed'});
      equal(bench.model.history[1]?.endedAt, 100);
    });

    it('fails a task whose input says so, and every task under failEverything', () => {
      const bench = new Bench();
      bench.start('a', {fail: true, workMs: 100});
      bench.clock.advance(50);
      bench.model.change({failEverything: true});
      bench.start('b', {workMs: 100});
      deepEqual(bench.states(), {a: 'failed', b: 'failed'});
    });
  });

  describe('sync', () => {
    it('checkpoints and resumes with the completed work', () => {
      const bench = new Bench();
      bench.start('a', {workMs: 100});
      bench.clock.advance(60);
      const {attempts} = bench.model.sync({checkpoint: ['a']}, bench.now());
      const checkpoint = attempts[0]?.checkpoint ?? '';
      bench.start('b', {workMs: 100}, {checkpoint});
      bench.clock.advance(40);
      deepEqual(bench.states(), {a: 'checkpointed', b: 'succeeded'});
      deepEqual(bench.states({acknowledge: ['a', 'b']}), {a: 'checkpointed', b: 'succeeded'});
      deepEqual(bench.states(), {});
    });

    it('throttles and stops', () => {
      const bench = new Bench();
      bench.start('a', {workMs: 100});
      bench.model.sync({throttle: [{attempt: 'a', share: 0.5}]}, bench.now());
      bench.clock.advance(100);
      deepEqual(bench.states(), {a: 'running'});
      deepEqual(bench.states({stop: ['a']}), {a: 'stopped'});
    });

    it('reports usage with a lag', () => {
      const bench = new Bench();
      bench.model.change({usageLagMs: 200});
      bench.start('a', {cpu: 1.5, memoryMb: 300, workMs: 9000});
      bench.clock.advance(100);
      equal(bench.model.sync({}, bench.now()).attempts[0]?.usage, undefined);
      bench.clock.advance(200);
      const usage = bench.model.sync({}, bench.now()).attempts[0]?.usage;
      deepEqual(usage, {at: 100, cpu: 1.5, memoryMb: 300, speed: 1});
    });
  });
});
