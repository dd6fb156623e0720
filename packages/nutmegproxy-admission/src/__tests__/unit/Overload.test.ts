import type {EntryId, Instant, RequestId, TeamId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import {deepEqual, equal, ok} from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {QueueLimits, WaitingRequest} from '../../index.ts';

import {GrantRate} from '../../GrantRate.ts';
import {REQUEST_QUEUES} from '../../index.ts';
import {ServiceTimes} from '../../ServiceTimes.ts';

const LIMITS: QueueLimits = {
  entryConcurrency: () => Infinity,
  entryQueue: () => Infinity,
  slots: () => 1,
  teamConcurrency: () => Infinity,
};

let nextId = 0;

function request(arrivedAt: number, deadline: number, entry = 'alert'): WaitingRequest {
  nextId += 1;
  return {
    arrivedAt: arrivedAt as Instant,
    class: 'latency-critical',
    deadline: deadline as Instant,
    entry: brand<EntryId>(entry),
    id: brand<RequestId>(`request-${nextId}`),
    team: brand<TeamId>('team'),
  };
}

describe('GrantPace', () => {
  it('predicts by the interval between grants, and more while none is granted', () => {
    const rate = new GrantRate();
    equal(rate.predictWaitMs(5, 0 as Instant), undefined);
    for (let now = 0; now <= 1000; now += 10) {
      rate.recordGrant(now as Instant);
    }
    equal(rate.predictWaitMs(9, 1000 as Instant), 100);
    equal(rate.predictWaitMs(9, 1510 as Instant), 600);
  });

  it('ignores the time in which no request waits', () => {
    const rate = new GrantRate();
    for (let now = 0; now <= 1000; now += 10) {
      rate.recordGrant(now as Instant);
    }
    rate.pause();
    equal(rate.predictWaitMs(9, 1001 as Instant), undefined);
    rate.recordGrant(9000 as Instant);
    equal(rate.predictWaitMs(9, 9000 as Instant), 100);
  });
});

describe('ServiceTimes', () => {
  it('reserves the mean plus deviations for each entry, at most a share of the time limit', () => {
    const times = new ServiceTimes();
    const alert = request(0, 1000);
    equal(times.reserveMs(alert, 8), 0);
    for (let index = 0; index < 2000; index += 1) {
      times.record(alert.entry, index % 2 === 0 ? 40 : 60);
    }
    ok(Math.abs(times.reserveMs(alert, 0) - 50) < 1);
    ok(Math.abs(times.reserveMs(alert, 3) - 80) < 2);
    equal(times.reserveMs(request(0, 100), 8), 50);
    equal(times.reserveMs(request(0, 1000, 'other'), 8), 0);
  });
});

describe('DeadlineQueue in overload', () => {
  it('drops requests that would miss their deadline, and keeps the rest', () => {
    const queue = REQUEST_QUEUES.deadline(LIMITS);
    const first = request(0, 10_000);
    queue.offer(first, 0 as Instant);
    queue.take(0 as Instant);
    queue.finish(first, 100);
    const late = request(0, 1000);
    const good = request(0, 5000);
    equal(queue.offer(late, 0 as Instant), undefined);
    equal(queue.offer(good, 0 as Instant), undefined);
    deepEqual(queue.dropLate(800 as Instant), []);
    deepEqual(queue.dropLate(950 as Instant), [late]);
    equal(queue.size, 1);
    equal(queue.take(950 as Instant), good);
  });

  it('ignores a stall that ended when all waiting requests were cancelled', () => {
    const queue = REQUEST_QUEUES.deadline(LIMITS);
    for (let now = 0; now < 500; now += 10) {
      queue.offer(request(now, now + 10_000), now as Instant);
      queue.offer(request(now, now + 10_000), now as Instant);
      const taken = queue.take(now as Instant);
      ok(taken);
      queue.finish(taken, 10);
    }
    const waiting = Array.from({length: 100}, () => queue.take(500 as Instant));
    const open = waiting.filter((each) => each !== undefined);
    const last = request(500, 10_000);
    queue.offer(last, 500 as Instant);
    queue.cancel(last.id);
    const next = request(60_000, 61_000);
    equal(queue.offer(next, 60_000 as Instant)?.kind, undefined);
    ok(open.length > 0);
  });

  it('admits only requests whose wait and service time together meet the deadline', () => {
    const queue = REQUEST_QUEUES.deadline(LIMITS);
    let now = 0;
    let late = 0;
    let refused = 0;
    // One slot, 20 ms per request, arrivals every 10 ms with a deadline after 500 ms.
    for (let index = 0; index < 2000; index += 1) {
      now = index * 10;
      refused += queue.offer(request(now, now + 500), now as Instant) === undefined ? 0 : 1;
      if (index % 2 === 0) {
        late += queue.dropLate(now as Instant).length;
        const taken = queue.take(now as Instant);
        if (taken !== undefined) {
          ok(now + 20 <= taken.deadline);
          queue.finish(taken, 20);
        }
      }
    }
    ok(late <= 10, `${late} requests were dropped after they had waited`);
    ok(Math.abs(refused - 1000) < 60, `${refused} requests were refused`);
  });
});

describe('limits', () => {
  for (const policy of ['deadline', 'first-come'] as const) {
    it(`refuse at once when the process has no share of them (${policy})`, () => {
      const noEntry = REQUEST_QUEUES[policy]({...LIMITS, entryConcurrency: () => 0});
      equal(noEntry.offer(request(0, 1000), 0 as Instant)?.kind, 'no-share');
      const noTeam = REQUEST_QUEUES[policy]({...LIMITS, teamConcurrency: () => 0});
      equal(noTeam.offer(request(0, 1000), 0 as Instant)?.kind, 'no-share');
    });
  }

  it('count in the predicted wait, so that excess requests are refused at once', () => {
    const limits = {...LIMITS, entryConcurrency: () => 2, slots: () => 100};
    const queue = REQUEST_QUEUES.deadline(limits);
    const first = request(0, 1000);
    queue.offer(first, 0 as Instant);
    queue.take(0 as Instant);
    queue.finish(first, 100);
    const kinds = Array.from({length: 40}, () => queue.offer(request(0, 1000), 0 as Instant)?.kind);
    const admitted = kinds.filter((kind) => kind === undefined).length;
    ok(admitted > 5 && admitted < 20, `${admitted} were admitted`);
    equal(kinds.at(-1), 'too-late');
    equal(queue.offer(request(0, 1000, 'other'), 0 as Instant), undefined);
  });
});
