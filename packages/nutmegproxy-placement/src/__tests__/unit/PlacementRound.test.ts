import type {EntryId, TeamId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {LANE_ORDERS} from '../../LaneOrders.ts';
import {decideRound} from '../../PlacementRound.ts';
import {PLACEMENTS} from '../../Placements.ts';
import {TaskQueue} from '../../TaskQueue.ts';
import {at, attemptOf, makeUrgentWish, makeWish, makeWorker} from './PlacementFixtures.ts';

const FOUR_CORES = {accelerators: 0, cpu: 4, memoryMb: 1000};

describe('decideRound', () => {
  function makeRound(shares: Readonly<Record<string, number>> = {}) {
    const placement = PLACEMENTS['first-fit']();
    placement.setWorker(makeWorker('w1'), at(0));
    const queue = new TaskQueue();
    const heldShare = (team: TeamId) => shares[team] ?? 0;
    return {heldShare, limit: 100, order: LANE_ORDERS.fair, placement, queue};
  }

  function placedNames(round: ReturnType<typeof makeRound>, now: number): string[] {
    return decideRound(round, at(now)).map(({task}) => task.wish.attempt);
  }

  it('takes latency-critical tasks first, then the team that holds least', () => {
    const round = makeRound({albarrada: 0.5});
    const other = {entry: brand<EntryId>('digest'), team: brand<TeamId>('oportuna')};
    round.queue.add({resumed: false, wish: makeWish('a', {declared: FOUR_CORES})});
    round.queue.add({resumed: false, wish: makeWish('b', {declared: FOUR_CORES, ...other})});
    round.queue.add({resumed: false, wish: makeUrgentWish('u', {declared: FOUR_CORES})});
    assert.deepEqual(placedNames(round, 1), ['u', 'b', 'a']);
    assert.equal(round.queue.size, 0);
  });

  it('puts batch that has waited long before other batch, whatever its team holds', () => {
    const round = makeRound({albarrada: 0.9});
    const other = {entry: brand<EntryId>('digest'), team: brand<TeamId>('oportuna')};
    round.queue.add({resumed: false, wish: makeWish('old', {queuedAt: at(0)})});
    round.queue.add({resumed: false, wish: makeWish('new', {queuedAt: at(599_999), ...other})});
    assert.deepEqual(placedNames(round, 600_000), ['old', 'new']);
  });

  it('resumes a checkpointed task before fresh ones of its entry', () => {
    const round = makeRound();
    round.queue.add({resumed: false, wish: makeWish('fresh')});
    round.queue.add({resumed: true, wish: makeWish('resumed')});
    assert.deepEqual(placedNames(round, 1), ['resumed', 'fresh']);
  });

  it('goes on with smaller tasks when a large one has to wait', () => {
    const round = makeRound();
    const large = {declared: {accelerators: 0, cpu: 16, memoryMb: 1000}};
    const small = {entry: brand<EntryId>('digest')};
    round.queue.add({resumed: false, wish: makeWish('small', {queuedAt: at(0), ...small})});
    round.queue.add({resumed: false, wish: makeWish('large', {queuedAt: at(1), ...large})});
    round.queue.add({resumed: false, wish: makeWish('small-2', {queuedAt: at(2), ...small})});
    assert.deepEqual(placedNames(round, 3), ['small', 'small-2']);
    assert.equal(round.queue.size, 1);
  });

  it('drops impossible tasks from the queue and reports them', () => {
    const round = makeRound();
    const declared = {accelerators: 9, cpu: 1, memoryMb: 1};
    round.queue.add({resumed: false, wish: makeWish('a', {declared})});
    assert.equal(decideRound(round, at(1))[0]?.decision.kind, 'impossible');
    assert.equal(round.queue.size, 0);
  });
});

describe('TaskQueue', () => {
  it('removes a waiting task once', () => {
    const queue = new TaskQueue();
    const wish = makeWish('a');
    queue.add({resumed: false, wish});
    queue.add({resumed: false, wish});
    assert.equal(queue.size, 1);
    assert.equal(queue.remove(wish.entry, attemptOf('a')), true);
    assert.equal(queue.remove(wish.entry, attemptOf('a')), false);
    assert.deepEqual(queue.lanes(), []);
  });
});
