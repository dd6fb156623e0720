import type {EntryId, Instant, RequestId, TeamId} from '@nutmegproxy/core';
import type {WorkClass} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {QueueLimits, QueuePolicy, WaitingRequest} from '../../index.ts';

import {createRandom, REQUEST_QUEUES} from '../../index.ts';

const NO_LIMITS: QueueLimits = {
  entryConcurrency: () => Infinity,
  entryQueue: () => Infinity,
  slots: () => 8,
  teamConcurrency: () => Infinity,
};

let nextId = 0;

function request(
  deadline: number,
  change: {arrivedAt?: number; class?: WorkClass; entry?: string; team?: string} = {},
): WaitingRequest {
  nextId += 1;
  return {
    arrivedAt: (change.arrivedAt ?? 0) as Instant,
    class: change.class ?? 'latency-critical',
    deadline: deadline as Instant,
    entry: brand<EntryId>(change.entry ?? 'alerts'),
    id: brand<RequestId>(`request-${nextId}`),
    team: brand<TeamId>(change.team ?? 'oportuna'),
  };
}

const NOW = 0 as Instant;

describe('RequestQueue', () => {
  for (const policy of Object.keys(REQUEST_QUEUES) as QueuePolicy[]) {
    describe(policy, () => {
      it('returns every request once, within the limits of entries and teams', () => {
        const random = createRandom(7);
        const limits = {...NO_LIMITS, entryConcurrency: () => 2, teamConcurrency: () => 3};
        const queue = REQUEST_QUEUES[policy](limits);
        const all = Array.from({length: 300}, (_, index) =>
          request(1e6 + Math.floor(random() * 1e6), {
            class: random() < 0.5 ? 'batch' : 'latency-critical',
            entry: `entry-${index % 7}`,
            team: `team-${(index % 7) % 3}`,
          }),
        );
        all.forEach((each) => {
          assert.equal(queue.offer(each, NOW), undefined);
        });
        const given = new Set<WaitingRequest>();
        const running: WaitingRequest[] = [];
        for (let step = 0; step < 5000 && given.size < all.length; step += 1) {
          const taken = queue.take(NOW);
          if (taken === undefined) {
            const [ended] = running.splice(Math.floor(random() * running.length), 1);
            assert.ok(ended);
            queue.finish(ended, 5);
            continue;
          }
          assert.ok(!given.has(taken));
          given.add(taken);
          running.push(taken);
          assert.ok(running.filter(({entry}) => entry === taken.entry).length <= 2);
          assert.ok(running.filter(({team}) => team === taken.team).length <= 3);
        }
        assert.equal(given.size, all.length);
        assert.equal(queue.size, 0);
      });

      it('refuses requests beyond the entry’s limit and removes cancelled ones', () => {
        const queue = REQUEST_QUEUES[policy]({...NO_LIMITS, entryQueue: () => 1});
        const first = request(1000);
        assert.equal(queue.offer(first, NOW), undefined);
        assert.equal(queue.offer(request(1000), NOW)?.kind, 'entry-queue-full');
        assert.equal(queue.cancel(first.id), true);
        assert.equal(queue.cancel(first.id), false);
        assert.equal(queue.take(NOW), undefined);
      });
    });
  }

  describe('deadline', () => {
    it('serves latency-critical requests first, by deadline', () => {
      const queue = REQUEST_QUEUES.deadline(NO_LIMITS);
      const batch = request(500, {class: 'batch'});
      const later = request(900);
      const sooner = request(800, {entry: 'proofs', team: 'mesa'});
      [batch, later, sooner].forEach((each) => queue.offer(each, NOW));
      assert.deepEqual([queue.take(NOW), queue.take(NOW), queue.take(NOW)], [sooner, later, batch]);
    });

    it('serves an aged batch request under steady latency-critical load', () => {
      const queue = REQUEST_QUEUES.deadline(NO_LIMITS);
      const batch = request(100_000, {class: 'batch'});
      queue.offer(batch, NOW);
      const now = 1000 as Instant;
      let grants = 0;
      for (;;) {
        queue.offer(request(5000, {arrivedAt: 1000}), now);
        const taken = queue.take(now);
        if (taken === batch) {
          break;
        }
        grants += 1;
        assert.ok(grants < 10, 'the batch request starves');
      }
    });

    it('refuses requests that cannot meet their deadline at once, and no others', () => {
      const queue = REQUEST_QUEUES.deadline({...NO_LIMITS, slots: () => 1});
      Array.from({length: 20}, () => queue.offer(request(10_000), NOW));
      assert.equal(queue.offer(request(11_000), NOW), undefined);
      assert.equal(queue.offer(request(10_050), NOW)?.kind, undefined);
      const refusal = queue.offer(request(300, {class: 'batch'}), NOW);
      assert.equal(refusal?.kind, 'too-late');
      assert.ok(refusal.retryAfterMs > 0);
    });

    it("serves an entry's requests after its team has changed", () => {
      const queue = REQUEST_QUEUES.deadline(NO_LIMITS);
      queue.offer(request(800), NOW);
      queue.offer(request(900, {team: 'mesa'}), NOW);
      assert.equal(queue.take(NOW)?.team, 'oportuna');
      assert.equal(queue.take(NOW)?.team, 'mesa');
    });
  });
});
