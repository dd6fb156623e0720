import type {EntryId, TeamId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LearnedPlacement} from '../../LearnedPlacement.ts';
import {
  at,
  attemptOf,
  makeLatencyCriticalRequest,
  makeRequest,
  makeWorker,
  showSizes,
  workerOf,
} from './PlacementFixtures.ts';

const EIGHT_CORES = {accelerators: 0, cpu: 8, memoryMb: 8000};

describe('LearnedPlacement', () => {
  describe('decide', () => {
    it('returns impossible at once for a task larger than every worker', () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('w1'));
      const declared = {accelerators: 1, cpu: 1, memoryMb: 1};
      assert.equal(placement.decide(makeRequest('a', {declared}), at(0)).kind, 'impossible');
    });

    it('returns impossible for a task larger than its quota, and wait while the quota is used up', () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('w1'));
      const team = brand<TeamId>('albarrada');
      showSizes(placement, makeRequest('s'), at(0));
      placement.setQuotas(new Map([[team, {cpu: 1}]]));
      const large = makeRequest('a', {declared: {accelerators: 0, cpu: 2, memoryMb: 1}});
      assert.equal(placement.decide(large, at(0)).kind, 'impossible');
      assert.equal(placement.decide(makeRequest('b'), at(0)).kind, 'placed');
      assert.equal(placement.decide(makeRequest('c'), at(0)).kind, 'wait');
      placement.release(attemptOf('b'), 'succeeded', at(1));
      assert.equal(placement.decide(makeRequest('c'), at(1)).kind, 'placed');
    });

    it('reserves four times the declared size for an unknown entry', () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('w1'));
      const decisions = ['a', 'b', 'c', 'd', 'e'].map((name) =>
        placement.decide(makeRequest(name), at(0)),
      );
      const kinds = decisions.map(({kind}) => kind);
      assert.deepEqual(kinds, ['placed', 'placed', 'placed', 'placed', 'wait']);
      const committed = decisions.map((each) => (each.kind === 'placed' ? each.reserved.cpu : 0));
      assert.deepEqual(committed, [1, 1, 1, 1, 0]);
    });

    it('keeps headroom for latency-critical tasks once it has seen them, except from aged batch tasks', () => {
      const placement = new LearnedPlacement();
      const half = {declared: {accelerators: 0, cpu: 7.5, memoryMb: 7000}};
      showSizes(placement, makeRequest('s', half), at(0));
      showSizes(placement, makeLatencyCriticalRequest('s'), at(0));
      placement.setWorker(makeWorker('w1'));
      assert.equal(placement.decide(makeLatencyCriticalRequest('u'), at(0)).kind, 'placed');
      assert.equal(placement.decide(makeRequest('a', half), at(0)).kind, 'placed');
      const backfill = makeRequest('b', half);
      assert.equal(placement.decide(backfill, at(0)).kind, 'wait');
      assert.equal(placement.decide(backfill, at(600_000)).kind, 'placed');
    });
  });

  describe('a large task overtaken by smaller ones', () => {
    it('claims the worker that frees capacity first, and latency-critical tasks still precede it', () => {
      const placement = new LearnedPlacement();
      const small = makeRequest('s', {declared: EIGHT_CORES});
      const declared = {...EIGHT_CORES, cpu: 16};
      const large = makeRequest('large', {declared, entry: brand<EntryId>('large')});
      showSizes(placement, small, at(0));
      showSizes(placement, large, at(0));
      showSizes(placement, makeLatencyCriticalRequest('s', {declared: EIGHT_CORES}), at(0));
      placement.setWorker(makeWorker('w1'));
      const late = (name: string) => ({...small, attempt: attemptOf(name), queuedAt: at(600_000)});
      assert.equal(placement.decide(late('a'), at(600_000)).kind, 'placed');
      assert.equal(placement.decide(late('b'), at(600_000)).kind, 'placed');
      assert.equal(placement.decide(large, at(600_000)).kind, 'wait');
      placement.release(attemptOf('a'), 'succeeded', at(600_001));
      assert.equal(placement.decide(late('c'), at(600_002)).kind, 'wait');
      const latencyCritical = makeLatencyCriticalRequest('u', {
        declared: EIGHT_CORES,
        queuedAt: at(600_002),
      });
      assert.equal(placement.decide(latencyCritical, at(600_002)).kind, 'placed');
      placement.release(attemptOf('u'), 'succeeded', at(600_003));
      placement.release(attemptOf('b'), 'succeeded', at(600_003));
      assert.equal(placement.decide(large, at(600_004)).kind, 'placed');
    });
  });

  describe('eviction for a latency-critical task', () => {
    function fillWithBatch(runTimeMs: number): LearnedPlacement {
      const placement = new LearnedPlacement();
      const request = makeRequest('s', {declared: EIGHT_CORES, declaredRunTimeMs: runTimeMs});
      showSizes(placement, request, at(0));
      showSizes(placement, makeLatencyCriticalRequest('s', {declared: EIGHT_CORES}), at(0));
      placement.setWorker(makeWorker('w1'));
      assert.equal(placement.decide({...request, attempt: attemptOf('old')}, at(0)).kind, 'placed');
      assert.equal(
        placement.decide({...request, attempt: attemptOf('new')}, at(900)).kind,
        'placed',
      );
      return placement;
    }

    const latencyCritical = makeLatencyCriticalRequest('u', {
      declared: EIGHT_CORES,
      queuedAt: at(1000),
    });

    it('evicts the victim that loses the least work when a late start is predicted', () => {
      const placement = fillWithBatch(3_600_000);
      const decision = placement.decide(latencyCritical, at(1000));
      assert.deepEqual(decision, {
        kind: 'evict',
        victims: [attemptOf('new')],
        worker: workerOf('w1'),
      });
    });

    it('evicts when that frees capacity sooner than waiting, even within the start limit', () => {
      const placement = fillWithBatch(5000);
      assert.equal(placement.decide(latencyCritical, at(1000)).kind, 'evict');
    });

    it('waits when capacity is predicted to be free in time', () => {
      const placement = fillWithBatch(2000);
      assert.equal(placement.decide(latencyCritical, at(1000)).kind, 'wait');
    });

    it('keeps the freed capacity for the task that caused the eviction, and evicts no other attempt', () => {
      const placement = fillWithBatch(3_600_000);
      placement.decide(latencyCritical, at(1000));
      assert.equal(placement.decide(latencyCritical, at(1100)).kind, 'wait');
      placement.release(attemptOf('new'), 'evicted', at(1200));
      const other = makeRequest('x', {declared: EIGHT_CORES});
      assert.equal(placement.decide(other, at(1200)).kind, 'wait');
      assert.equal(placement.decide(latencyCritical, at(1200)).kind, 'placed');
    });
  });

  describe('committed reservations', () => {
    const HALF_CORE = {at: 0, cpu: 0.5, memoryMb: 500};

    function report(placement: LearnedPlacement, name: string): void {
      const attempt = attemptOf(name);
      placement.observe({attempt, measuredAt: at(5), progress: 0, usage: HALF_CORE}, at(10));
    }

    it("never exceed a worker's capacity in sum, although safety margins shrink", () => {
      const placement = new LearnedPlacement();
      const worker = makeWorker('w1');
      placement.setWorker(worker);
      let committed = 0;
      for (let index = 0; index < 40; index += 1) {
        const decision = placement.decide(makeRequest(`t${index}`), at(index));
        committed += decision.kind === 'placed' ? decision.reserved.cpu : 0;
        if (decision.kind === 'placed') {
          report(placement, `t${index}`);
        }
      }
      assert.ok(committed <= worker.capacity.cpu, `${committed} cores`);
      assert.ok(committed > worker.capacity.cpu / 2, 'the worker is used');
    });

    it('lose their safety margin by the number of attempts, not of reports', () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('w1'));
      placement.decide(makeRequest('one'), at(0));
      for (const cpu of [0.1, 0.2, 0.3, 0.4]) {
        const usage = {at: 0, cpu, memoryMb: 500};
        const attempt = attemptOf('one');
        placement.observe({attempt, measuredAt: at(5), progress: 0, usage}, at(10));
      }
      const placed = ['a', 'b', 'c', 'd'].map((name) =>
        placement.decide(makeRequest(name), at(20)),
      );
      assert.equal(placed.filter(({kind}) => kind === 'placed').length, 3);
    });
  });

  describe('observe', () => {
    it("requests evictions when tasks use more than their worker's capacity", () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('w1'));
      for (const name of ['a', 'b', 'c', 'd']) {
        assert.equal(placement.decide(makeRequest(name), at(0)).kind, 'placed');
      }
      const usage = {at: 0, cpu: 6, memoryMb: 1000};
      for (const name of ['a', 'b', 'c', 'd']) {
        const attempt = attemptOf(name);
        placement.observe({attempt, measuredAt: at(5), progress: 0, usage}, at(10));
      }
      const victims = placement.evictions(at(10));
      assert.equal(victims.length, 2);
      assert.deepEqual(placement.evictions(at(11)), []);
    });

    it('throttles a batch task that slows a latency-critical one, and evicts it when that does not help', () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('w1'));
      placement.decide(makeLatencyCriticalRequest('u'), at(0));
      placement.decide(makeRequest('noisy'), at(0));
      const usage = {at: 0, cpu: 1, memoryMb: 1000, speed: 0.5};
      const slow = {attempt: attemptOf('u'), progress: 0.1, usage};
      placement.observe({...slow, measuredAt: at(100)}, at(1000));
      assert.deepEqual(placement.throttles(), [{attempt: attemptOf('noisy'), share: 0.5}]);
      placement.observe({...slow, measuredAt: at(4900)}, at(5000));
      assert.deepEqual(placement.throttles(), [{attempt: attemptOf('noisy'), share: 0.25}]);
      placement.observe({...slow, measuredAt: at(8900)}, at(9000));
      assert.deepEqual(placement.evictions(at(9000)), [attemptOf('noisy')]);
    });
  });

  describe('workers that fail every task', () => {
    it('get no tasks after failures that other workers do not have, then one canary task', () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('good'));
      for (const index of [1, 2, 3, 4, 5]) {
        placement.adopt(placedOn('good', `g${index}`));
        placement.release(attemptOf(`g${index}`), 'succeeded', at(10));
      }
      placement.setWorker(makeWorker('bad'));
      placement.setWorker({...makeWorker('good'), drained: true});
      for (const index of [1, 2, 3, 4, 5]) {
        placement.adopt(placedOn('bad', `b${index}`));
        placement.release(attemptOf(`b${index}`), 'failed', at(30));
      }
      assert.equal(placement.decide(makeRequest('x'), at(40)).kind, 'wait');
      assert.equal(placement.decide(makeRequest('x'), at(40_000)).kind, 'placed');
      assert.equal(placement.decide(makeRequest('y'), at(40_000)).kind, 'wait');
      placement.release(attemptOf('x'), 'succeeded', at(41_000));
      assert.equal(placement.decide(makeRequest('y'), at(41_000)).kind, 'placed');
    });

    it('get another canary task when the first one is evicted', () => {
      const placement = new LearnedPlacement();
      placement.setWorker(makeWorker('bad'));
      for (const index of [1, 2, 3, 4, 5]) {
        placement.adopt(placedOn('bad', `b${index}`));
        placement.release(attemptOf(`b${index}`), 'failed', at(30));
      }
      assert.equal(placement.decide(makeRequest('x'), at(40_000)).kind, 'placed');
      placement.release(attemptOf('x'), 'evicted', at(41_000));
      assert.equal(placement.decide(makeRequest('y'), at(42_000)).kind, 'placed');
    });

    function placedOn(worker: string, name: string) {
      const request = makeRequest(name);
      return {...request, reserved: request.declared, startedAt: at(0), worker: workerOf(worker)};
    }
  });
});
