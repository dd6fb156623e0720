import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {TestVm} from '../TestCluster.ts';

import {HUGE, IDLE_TEAM, LEASE_MS, SINGLE, TestCluster, URGENT, waitUntil} from '../TestCluster.ts';

describe('tasks', () => {
  let cluster: TestCluster;
  let first: TestVm;
  let second: TestVm;

  beforeEach(() => {
    cluster = new TestCluster();
    first = cluster.addVm('vm-1');
    second = cluster.addVm('vm-2');
    cluster.setOwner(first);
  });

  afterEach(() => {
    cluster.close();
    assert.deepEqual(cluster.workers.violations, []);
  });

  const advanceClock = (): void => {
    cluster.clock.advance(LEASE_MS / 10);
  };

  describe('submission', () => {
    it('runs the tasks of a job submitted through any VM', async () => {
      const job = await cluster.submit(second, 3);
      await cluster.waitForCounts(second, job, {running: 3});
      const {tasks} = await cluster.status(first, job);
      tasks.forEach(({task}) => {
        cluster.workers.finish(task, 'succeeded');
      });
      await cluster.waitForCounts(first, job, {ended: 3});
    });

    it('runs no more tasks of an entry at one time than its concurrency allows', async () => {
      const job = await cluster.submit(second, 3, 'one-by-one', SINGLE.id);
      for (const ended of [0, 1, 2]) {
        const queued = 2 - ended;
        const counts = {...(ended ? {ended} : {}), ...(queued ? {queued} : {}), running: 1};
        await cluster.waitForCounts(first, job, counts);
        const {tasks} = await cluster.status(first, job);
        const running = tasks.find(({state}) => state === 'running');
        cluster.workers.finish(running?.task ?? '', 'succeeded');
      }
      await cluster.waitForCounts(first, job, {ended: 3});
    });

    it('returns the same job for the same key through any VM', async () => {
      const job = await cluster.submit(second, 1, 'march-digest');
      const answer = await first.call('POST', '/tasks', {entry: 'digest'}, 'march-digest');
      assert.equal(answer.status, 200);
      assert.equal((JSON.parse(answer.body) as {job: string}).job, job);
    });

    it('rejects an input that does not fit into a delta', async () => {
      await cluster.submit(first);
      const input = 'ñ'.repeat(200_000);
      const answer = await second.call('POST', '/tasks', {entry: 'digest', input});
      assert.equal(answer.status, 422);
      assert.equal(answer.headers['nutmegproxy-outcome'], 'not-run');
    });

    it('scopes keys to an entry', async () => {
      const digest = await cluster.submit(first, 1, 'one');
      const urgent = await cluster.submit(first, 1, 'one', URGENT.id);
      assert.notEqual(digest, urgent);
    });

    it('creates one job for two concurrent submissions with the same key', async () => {
      await cluster.submit(first);
      const answers = await Promise.all(
        [first, second].map((vm) => vm.call('POST', '/tasks', {entry: 'digest'}, 'same')),
      );
      assert.deepEqual(answers.map(({status}) => status).sort(), [200, 201]);
      assert.equal(answers[0]?.body, answers[1]?.body);
    });

    it('rejects tasks that can never run', async () => {
      await cluster.submit(first);
      for (const entry of [HUGE.id, IDLE_TEAM.id, 'unknown']) {
        const answer = await first.call('POST', '/tasks', {entry});
        assert.equal(answer.status, 422, answer.body);
        assert.equal(answer.headers['nutmegproxy-outcome'], 'not-run');
      }
    });

    it('rejects submissions immediately while the store is unavailable', async () => {
      await cluster.submit(first);
      cluster.store.faults = ['unavailable'];
      cluster.store.repeatsFault = true;
      const answer = await second.call('POST', '/tasks', {entry: 'digest'}, 'later');
      assert.equal(answer.status, 503);
      assert.equal(answer.headers['nutmegproxy-outcome'], 'not-run');
      assert.ok(answer.headers['retry-after']);
    });

    it('accepts a job once when responses of the store are lost', async () => {
      await cluster.submit(first);
      for (const fault of ['lost-answer', 'late'] as const) {
        cluster.store.faults = [fault, fault];
        const job = await cluster.submit(second, 1, fault);
        const again = await cluster.submit(first, 1, fault);
        assert.equal(again, job);
      }
    });
  });

  describe('starts', () => {
    it('starts an attempt once when the response of the worker is lost', async () => {
      cluster.workers.startFaults = ['lost-answer'];
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1});
      assert.equal(cluster.workers.starts.length, 1);
    });

    it('keeps the reservation of a lost start until the start can no longer arrive', async () => {
      cluster.workers.startFaults = ['lost'];
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {starting: 1});
      await cluster.waitForCounts(first, job, {running: 1}, advanceClock);
      assert.equal(cluster.workers.starts.length, 1);
    });

    it('retries a refused start', async () => {
      cluster.workers.startFaults = ['refuse'];
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1}, advanceClock);
    });

    it('fails a task after its maximum number of attempts', async () => {
      const job = await cluster.submit(first);
      await waitUntil(
        async () => (await cluster.status(first, job)).counts.ended === 1,
        'the task has ended',
        () => {
          cluster.workers.finish(`${job}/0`, 'failed');
          advanceClock();
        },
      );
      const {tasks} = await cluster.status(first, job);
      assert.equal(tasks[0]?.outcome, 'failed');
      assert.equal(tasks[0].failures, 1);
    });

    it('resumes the task of an unreachable worker after its lease has expired', async () => {
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1});
      const {tasks} = await cluster.status(first, job);
      cluster.workers.unreachable.add(tasks[0]?.worker ?? '');
      await waitUntil(() => cluster.workers.starts.length === 2, 'a second start', advanceClock);
    });

    it('renews leases while the store is unavailable', async () => {
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1});
      cluster.store.faults = ['unavailable'];
      cluster.store.repeatsFault = true;
      let renewals = 0;
      cluster.workers.onSync = (_address, {renew = []}) => {
        renewals += renew.length;
      };
      await waitUntil(
        () => renewals > 40,
        'renewals',
        () => {
          cluster.clock.advance(LEASE_MS / 100);
        },
      );
      assert.equal(cluster.workers.running().length, 1);
    });
  });

  describe('change of owner', () => {
    for (const fault of ['lost', 'lost-answer'] as const) {
      it(`acquires a cell with a start in flight: ${fault}`, async () => {
        cluster.workers.startFaults = [fault];
        const job = await cluster.submit(first);
        await waitUntil(() => cluster.workers.startFaults.length === 0, 'the start is sent');
        cluster.setOwner(second);
        // A running attempt must be renewed in time, so the clock advances in small steps.
        await cluster.waitForCounts(second, job, {running: 1}, () => {
          cluster.clock.advance(LEASE_MS / (fault === 'lost' ? 10 : 200));
        });
        assert.equal(cluster.workers.running().length, 1);
      });
    }

    for (const step of ['start-intended', 'start-confirmed', 'task-ended']) {
      for (const fault of ['lost-answer', 'unavailable'] as const) {
        it(`ends a task once when the owner fails twice at ${step}: ${fault}`, async () => {
          const job = await cluster.submit(first);
          const marker = Buffer.from(`"${step}"`).toJSON().data.join(',');
          let owner = first;
          let failovers = 0;
          cluster.store.onCommit = ({then}) => {
            if (failovers < 2 && JSON.stringify(then).includes(marker)) {
              failovers += 1;
              owner.tenure = false;
              cluster.store.faults = [fault];
            }
          };
          await waitUntil(
            () => failovers === 2 && cluster.workers.running().length <= 1 && owner.tenure,
            'two failovers',
            () => {
              cluster.clock.advance(LEASE_MS / (step === 'start-intended' ? 10 : 200));
              cluster.workers.finish(`${job}/0`, 'succeeded');
              if (!owner.tenure) {
                owner = owner === first ? second : first;
                owner.tenure = true;
                cluster.setOwner(owner);
              }
            },
          );
          await cluster.waitForCounts(owner, job, {ended: 1}, () => {
            cluster.workers.finish(`${job}/0`, 'succeeded');
            advanceClock();
          });
          const {tasks} = await cluster.status(owner, job);
          assert.equal(tasks[0]?.outcome, 'succeeded');
        });
      }
    }

    it('sends no start after it has lost its tenure, even for a committed intent', async () => {
      const runningJob = await cluster.submit(first);
      await cluster.waitForCounts(first, runningJob, {running: 1});
      cluster.store.onCommit = ({then}) => {
        const text = JSON.stringify(then, (_, value: unknown) => value);
        const intent = Buffer.from('"start-intended"').toJSON().data.join(',');
        if (text.includes(intent)) {
          first.tenure = false;
        }
      };
      const job = await cluster.submit(first);
      await waitUntil(() => !first.tenure, 'the tenure is lost');
      assert.equal(cluster.workers.starts.length, 1);
      cluster.store.onCommit = () => undefined;
      cluster.setOwner(second);
      await cluster.waitForCounts(second, job, {running: 1}, advanceClock);
    });

    it('writes nothing after the owner key has changed', async () => {
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1});
      // The allotment of this VM is stale and still names it as the owner.
      cluster.store.put('/n/dc/dc1/cell/rack-1/owner', {epoch: 9, owner: 'vm-2.1'});
      const answer = await first.call('POST', '/tasks', {entry: 'digest'}, 'stale');
      assert.equal(answer.status, 503);
      assert.equal(cluster.store.values.has('/n/jobs/stale'), false);
      assert.equal(cluster.workers.starts.length, 1);
    });

    it('runs all tasks of a job after two successive changes of owner', async () => {
      const job = await cluster.submit(first, 2);
      cluster.setOwner(second);
      cluster.setOwner(first);
      await cluster.waitForCounts(first, job, {running: 2}, advanceClock);
      assert.equal(cluster.workers.running().length, 2);
    });

    it('starts nothing after a drain and renews leases until the handover', async () => {
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1});
      await cluster.drain(first);
      let syncs = 0;
      cluster.workers.onSync = () => {
        syncs += 1;
      };
      await waitUntil(() => syncs > 4, 'further syncs');
      await cluster.release(first);
      cluster.workers.finish(`${job}/0`, 'succeeded');
      cluster.setOwner(second);
      await cluster.waitForCounts(second, job, {ended: 1});
      assert.equal(cluster.workers.starts.length, 1);
    });

    it('writes nothing for a cell that it has handed over', async () => {
      const job = await cluster.submit(first, 3);
      await cluster.waitForCounts(first, job, {running: 3});
      await cluster.release(first);
      const before = [...cluster.store.values.keys()].length;
      cluster.workers.finish(`${job}/0`, 'succeeded');
      const cancelled = await first.call('DELETE', `/tasks/${job}`);
      assert.equal(cancelled.status, 503);
      assert.equal([...cluster.store.values.keys()].length, before);
      cluster.setOwner(second);
      await cluster.waitForCounts(second, job, {ended: 1, running: 2});
    });
  });

  describe('eviction', () => {
    const drainWorkerOf = async (job: string): Promise<string> => {
      const {tasks} = await cluster.status(first, job);
      const worker = tasks[0]?.worker ?? '';
      cluster.drained.add(worker);
      return worker;
    };

    it('moves a task from a drained worker with its checkpoint', async () => {
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1});
      await drainWorkerOf(job);
      await waitUntil(() => cluster.workers.starts.length === 2, 'a second start');
      assert.equal(cluster.workers.starts[1]?.checkpoint, `checkpoint of ${job}/0#0`);
      await cluster.waitForCounts(first, job, {running: 1});
    });

    it('evicts a batch task for an urgent task and resumes it later', async () => {
      const batch = await cluster.submit(first, 8);
      await cluster.waitForCounts(first, batch, {running: 8});
      const victim = cluster.workers.running()[0] ?? '';
      let evicted = false;
      cluster.placementHook.decide = (request, decide) => {
        if (request.class === 'batch' || evicted) {
          return decide();
        }
        evicted = true;
        return {kind: 'evict', victims: [brand(victim)], worker: brand('w1')};
      };
      const urgent = await cluster.submit(first, 1, 'urgent', URGENT.id);
      await cluster.waitForCounts(first, urgent, {running: 1});
      await cluster.waitForCounts(first, batch, {queued: 1, running: 7});
      cluster.workers.finish(`${urgent}/0`, 'succeeded');
      await cluster.waitForCounts(first, batch, {running: 8});
      assert.equal(cluster.workers.starts.at(-1)?.checkpoint, `checkpoint of ${victim}`);
    });

    for (const step of ['eviction-intended', 'attempt-returned', 'start-intended']) {
      it(`resumes a task once when the owner fails twice at ${step}`, async () => {
        const job = await cluster.submit(first);
        await cluster.waitForCounts(first, job, {running: 1});
        await drainWorkerOf(job);
        const marker = Buffer.from(`"${step}"`).toJSON().data.join(',');
        let owner = first;
        let failovers = 0;
        cluster.store.onCommit = ({then}) => {
          if (failovers < 2 && JSON.stringify(then).includes(marker)) {
            failovers += 1;
            // The write takes effect, but the writer does not receive the response.
            owner.tenure = false;
            cluster.store.faults = ['lost-answer'];
          }
        };
        await waitUntil(
          () => cluster.workers.starts.length >= 2,
          'the task is started again',
          () => {
            // An unsent start must expire; otherwise the lease must outlast the change of owner.
            cluster.clock.advance(LEASE_MS / (step === 'start-intended' ? 10 : 200));
            if (!owner.tenure) {
              const next = owner === first ? second : first;
              next.tenure = true;
              owner = next;
              cluster.setOwner(next);
            }
          },
        );
        await cluster.waitForCounts(owner, job, {running: 1}, advanceClock);
        assert.equal(cluster.workers.running().length, 1);
        const resumed = cluster.workers.starts.filter(({checkpoint}) => checkpoint !== undefined);
        assert.ok(resumed.length >= 1);
      });
    }
  });

  describe('cancellation', () => {
    it('ends queued and running tasks', async () => {
      const job = await cluster.submit(first, 20);
      await cluster.waitForCounts(first, job, {queued: 12, running: 8});
      const answer = await second.call('DELETE', `/tasks/${job}`);
      assert.equal(answer.status, 200);
      await cluster.waitForCounts(second, job, {ended: 20});
      assert.deepEqual(cluster.workers.running(), []);
    });

    it('ends a task during its eviction without resuming it', async () => {
      const job = await cluster.submit(first);
      await cluster.waitForCounts(first, job, {running: 1});
      cluster.drained = new Set(['w1', 'w2']);
      await first.call('DELETE', `/tasks/${job}`);
      await cluster.waitForCounts(first, job, {ended: 1});
      assert.equal(cluster.workers.starts.length, 1);
    });

    it('ends a task when the outcome of its start is unknown', async () => {
      cluster.workers.startFaults = ['lost-answer'];
      const job = await cluster.submit(first);
      await waitUntil(() => cluster.workers.starts.length === 1, 'the start is sent');
      await first.call('DELETE', `/tasks/${job}`);
      await cluster.waitForCounts(first, job, {ended: 1});
      assert.deepEqual(cluster.workers.running(), []);
    });
  });
});
