import type {DataCentreId, Instant, JobId, MinionId, WallTime} from '@nutmegproxy/core';
import type {QueueId, Run, ServiceId} from '@nutmegproxy/jobs';

import {brand, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {JobState} from '@nutmegproxy/jobs';
import {Fleet, MinionState} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {MinionOrders} from '../../MinionOrders.ts';
import type {SessionContext} from '../../SessionContext.ts';

import {RunOrders} from '../../RunOrders.ts';
import {StartLimiter} from '../../StartLimiter.ts';
import {acquireOwnership} from './OwnerSamples.ts';

const SERVICE = 'mesa' as ServiceId;

describe('RunOrders', () => {
  let fleet: Fleet;
  let limiter: StartLimiter;
  let minion: MinionState;
  let orders: RunOrders;
  let run: Run;
  let sent: string[];
  let store: MemoryStore;

  beforeEach(async () => {
    sent = [];
    store = new MemoryStore();
    fleet = new Fleet(SILENT_EVENTS);
    limiter = new StartLimiter();
    minion = new MinionState({
      address: 'm1:1',
      bornAt: 1,
      capacity: {cpuMilli: 16_000, gpus: 0, memoryMb: 64_000},
      dataCentre: brand<DataCentreId>('dc'),
      id: brand<MinionId>('m1'),
      isDraining: false,
      labels: [],
      leavesInMs: undefined,
      machine: undefined,
      rack: undefined,
      service: SERVICE,
    });
    fleet.minions.set(minion.id, minion);
    const request = {
      acceptedAt: 0 as WallTime,
      id: brand<JobId>('00000000000000a1'),
      payload: '',
      queue: 'proofs' as QueueId,
      recurrence: undefined,
      service: SERVICE,
      steps: [
        {
          after: [],
          checkpoints: false,
          count: 1,
          disruptionBudget: undefined,
          estimateMs: 1_000,
          fillsSpareCpu: false,
          gang: false,
          image: undefined,
          longRunning: false,
          maxPerMinion: undefined,
          preferredRack: undefined,
          rackLocal: false,
          requiredLabel: undefined,
          resources: {cpuMilli: 1_000, gpus: 0, memoryMb: 100},
          speculative: false,
          tailTargetMs: undefined,
        },
      ],
    };
    const step = new JobState(request, 1).occurrence(0)?.[0];
    assert.ok(step);
    run = fleet.startRun(step, 0, minion, 0 as Instant);
    const answer = {clockMs: 1};
    const minionOrders: Partial<MinionOrders> = {
      start: (_target, {task}) => {
        sent.push(task);
        return okAsync(answer);
      },
    };
    const context: Partial<SessionContext> = {
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      findTicket: () => undefined,
      fleet,
      onChange: () => undefined,
      orders: minionOrders as MinionOrders,
      ownership: await acquireOwnership(store),
      startLimiter: limiter,
    };
    orders = new RunOrders(context as SessionContext, minion, {
      grantLease: () => 1_000,
      handleFailure: () => undefined,
      isActing: () => true,
    });
    for (let index = 0; index < limiter.limit; index += 1) {
      await limiter.enter();
    }
  });

  afterEach(async () => {
    await store.close();
  });

  describe('a start that waits for others', () => {
    it('is sent when one of them has ended', async () => {
      const started = orders.start(run);
      assert.deepEqual(sent, []);
      limiter.leave(1, 0);
      await started;
      assert.equal(sent.length, 1);
      assert.equal(run.phase, 'running');
    });

    it('is not sent when its run was given up meanwhile, since the task may run elsewhere', async () => {
      const started = orders.start(run);
      fleet.recordLostRun(run, 'lease expired');
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
    });

    it('is not sent when its run was stopped meanwhile', async () => {
      const started = orders.start(run);
      fleet.stopRun(run, 'cancelled');
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
    });

    it('is not sent when its minion drains meanwhile, and its task waits again', async () => {
      const started = orders.start(run);
      minion.description = {...minion.description, isDraining: true};
      limiter.leave(1, 0);
      await started;
      assert.deepEqual(sent, []);
      assert.equal(run.step.waiting.size, 1);
    });

    it('lets the next one be sent also when it is not sent itself', async () => {
      const started = orders.start(run);
      const next = limiter.enter();
      fleet.recordLostRun(run, 'lease expired');
      limiter.leave(1, 0);
      await Promise.all([started, next]);
    });
  });
});
