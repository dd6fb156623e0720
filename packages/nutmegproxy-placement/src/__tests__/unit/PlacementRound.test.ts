import type {EntryId, TeamId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LANE_ORDERS} from '../../LaneOrders.ts';
import {decideRound} from '../../PlacementRound.ts';
import {PLACEMENTS} from '../../Placements.ts';
import {TaskQueue} from '../../TaskQueue.ts';
import {
  at,
  attemptOf,
  makeLatencyCriticalRequest,
  makeRequest,
  makeWorker,
} from './PlacementFixtures.ts';

const FOUR_CORES = {accelerators: 0, cpu: 4, memoryMb: 1000};

describe('decideRound', () => {
  function makeRound(shares: Readonly<Record<string, number>> = {}) {
    const placement = PLACEMENTS['first-fit']();
    placement.setWorker(makeWorker('w1'), at(0));
    const queue = new TaskQueue();
    const usedShare = (team: TeamId) => shares[team] ?? 0;
    return {limit: 100, order: LANE_ORDERS.fair, placement, queue, usedShare};
  }

  function placedNames(round: ReturnType<typeof makeRound>, now: number): string[] {
    return decideRound(round, at(now)).map(({task}) => task.request.attempt);
  }

  it('places latency-critical tasks first, then those of the team with the smallest share', () => {
    const round = makeRound({albarrada: 0.5});
    const other = {entry: brand<EntryId>('digest'), team: brand<TeamId>('oportuna')};
    round.queue.add({request: makeRequest('a', {declared: FOUR_CORES}), resumed: false});
    round.queue.add({request: makeRequest('b', {declared: FOUR_CORES, ...other}), resumed: false});
    round.queue.add({
      request: makeLatencyCriticalRequest('u', {declared: FOUR_CORES}),
      resumed: false,
    });
    assert.deepEqual(placedNames(round, 1), ['u', 'b', 'a']);
    assert.equal(round.queue.size, 0);
  });

  it("places aged batch tasks before other batch tasks, whatever their team's share", () => {
    const round = makeRound({albarrada: 0.9});
    const other = {entry: brand<EntryId>('digest'), team: brand<TeamId>('oportuna')};
    round.queue.add({request: makeRequest('old', {queuedAt: at(0)}), resumed: false});
    round.queue.add({
      request: makeRequest('new', {queuedAt: at(599_999), ...other}),
      resumed: false,
    });
    assert.deepEqual(placedNames(round, 600_000), ['old', 'new']);
  });

  it('resumes a checkpointed task before fresh ones of its entry', () => {
    const round = makeRound();
    round.queue.add({request: makeRequest('fresh'), resumed: false});
    round.queue.add({request: makeRequest('resumed'), resumed: true});
    assert.deepEqual(placedNames(round, 1), ['resumed', 'fresh']);
  });

  it('continues with smaller tasks when a large one has to wait', () => {
    const round = makeRound();
    const large = {declared: {accelerators: 0, cpu: 16, memoryMb: 1000}};
    const small = {entry: brand<EntryId>('digest')};
    round.queue.add({request: makeRequest('small', {queuedAt: at(0), ...small}), resumed: false});
    round.queue.add({request: makeRequest('large', {queuedAt: at(1), ...large}), resumed: false});
    round.queue.add({request: makeRequest('small-2', {queuedAt: at(2), ...small}), resumed: false});
    assert.deepEqual(placedNames(round, 3), ['small', 'small-2']);
    assert.equal(round.queue.size, 1);
  });

  it('removes impossible tasks from the queue and reports them', () => {
    const round = makeRound();
    const declared = {accelerators: 9, cpu: 1, memoryMb: 1};
    round.queue.add({request: makeRequest('a', {declared}), resumed: false});
    assert.equal(decideRound(round, at(1))[0]?.decision.kind, 'impossible');
    assert.equal(round.queue.size, 0);
  });
});

describe('TaskQueue', () => {
  it('removes a waiting task once', () => {
    const queue = new TaskQueue();
    const request = makeRequest('a');
    queue.add({request, resumed: false});
    queue.add({request, resumed: false});
    assert.equal(queue.size, 1);
    assert.equal(queue.remove(request.entry, attemptOf('a')), true);
    assert.equal(queue.remove(request.entry, attemptOf('a')), false);
    assert.deepEqual(queue.lanes(), []);
  });
});
