import type {Catalogue} from '@nutmegproxy/schema';

import {deepEqual, ok} from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';

import type {History} from '../../index.ts';
import type {CatalogueResponse} from '../../TestEntry.ts';

import {groupBy} from '../../CheckUtils.ts';
import {checkHistory, HistoryRecorder, ProcessGroup} from '../../index.ts';
import {RequestCaller} from '../../RequestCaller.ts';
import {TestEntry} from '../../TestEntry.ts';
import {TestPlatform} from '../../TestPlatform.ts';

const SEED = 20_261_203;
const CALLERS = 8;
const DECLARED = {accelerators: 0, cpu: 2, memoryMb: 1_000};
const TASKS = 12;

function catalogueWith(queue: number): Catalogue {
  const request = {
    class: 'latency-critical',
    kind: 'request',
    owner: 't',
    service: 'mesa',
  } as const;
  const limits = {queue, timeoutMs: 5_000};
  return {
    entries: [
      {...request, id: 'alert', limits},
      {...request, id: 'proof', idempotent: true, limits},
      {
        checkpoint: true,
        class: 'batch',
        id: 'digest',
        kind: 'task',
        limits: {attempts: 5, ...DECLARED, runTimeMs: 500},
        owner: 't',
      },
    ],
    teams: [{id: 't', quota: {cpu: 100, requests: 100}}],
  };
}

async function waitFor(what: string, condition: () => Promise<boolean>): Promise<void> {
  const limit = Date.now() + 40_000;
  while (!(await condition())) {
    ok(Date.now() < limit, `${what}: never`);
    await sleep(50);
  }
}

describe('a run under faults', () => {
  const group = new ProcessGroup();
  const platform = new TestPlatform({minions: 3, slots: 4, workerCpu: 8, workers: 2});
  const recorder = new HistoryRecorder();
  const entries = ['e1', 'e2', 'e3'].map((vm) => new TestEntry(vm, group, platform));
  const [first, second, third] = entries as [TestEntry, TestEntry, TestEntry];

  async function applyCatalogue(entry: TestEntry, revision: number, queue: number) {
    const body = {catalogue: catalogueWith(queue), expectedRevision: revision};
    const response = await entry.callOperatorApi('POST', '/v1/catalogue', body);
    if (response === undefined) {
      return false;
    }
    const at = Date.now();
    const shown = (await entry.callOperatorApi('GET', '/v1/catalogue')) as
      CatalogueResponse | undefined;
    if (shown?.revision === (response as CatalogueResponse).revision) {
      const digest = JSON.stringify(shown.catalogue);
      recorder.add('accepted', {at, digest, revision: shown.revision});
    }
    return true;
  }

  async function pollCatalogue(entry: TestEntry): Promise<void> {
    const process = String(entry.process?.pid);
    const shown = (await entry.callOperatorApi('GET', '/v1/catalogue')) as
      CatalogueResponse | undefined;
    if (shown !== undefined) {
      const digest = JSON.stringify(shown.catalogue);
      const {revision} = shown;
      recorder.add('seen', {at: Date.now(), digest, process, revision, vm: entry.vm});
    }
  }

  /** Injects a fault into an entry VM and records its duration as an outage. */
  async function injectFault(entry: TestEntry, fault: () => Promise<void>): Promise<void> {
    const from = Date.now();
    await fault();
    recorder.add('absences', {from, until: Date.now(), vm: entry.vm});
  }

  async function injectFaults(): Promise<void> {
    for (const minion of platform.minions.values()) {
      minion.control({fault: {atByte: 10, kind: 'reset', seed: SEED, share: 0.05}, serviceMs: 10});
    }
    platform.store.control({loseShare: 0.1, seed: SEED});
    await injectFault(second, async () => {
      second.process?.pause();
      await sleep(2_000);
      second.process?.resume();
    });
    await injectFault(third, async () => {
      await third.process?.kill();
      await sleep(500);
      await third.start([first.peerAddress]);
    });
    await injectFault(first, async () => {
      platform.network.partition(first.vm, 'store');
      platform.network.partition('store', first.vm);
      await sleep(2_000);
      platform.network.heal(first.vm, 'store');
      platform.network.heal('store', first.vm);
    });
    await Promise.all(
      entries.map((entry) =>
        injectFault(entry, async () => {
          platform.store.control({down: true});
          await sleep(1_500);
          platform.store.control({down: false});
        }),
      ),
    );
    platform.store.control({loseShare: 0});
  }

  function readHistory(): History {
    return {...recorder.close(false), ...platform.readHistory(new Map([['digest', DECLARED]]))};
  }

  async function submitTasks(entry: TestEntry): Promise<string | undefined> {
    const input = JSON.stringify({workMs: 300});
    const response = await request(`${entry.callerUrl}/tasks`, {
      body: JSON.stringify({count: TASKS, entry: 'digest', input}),
      headers: {'content-type': 'application/json'},
      method: 'POST',
      reset: true,
    });
    const {job} = (await response.body.json()) as {job?: string};
    return job;
  }

  before(async () => {
    await platform.start();
    await first.start([]);
    await second.start([first.peerAddress]);
    await third.start([first.peerAddress]);
    await waitFor('the catalogue is accepted', () => applyCatalogue(first, 0, 100));
    for (const entry of entries) {
      await waitFor(`${entry.vm} is ready`, () => entry.isReady());
    }
  });

  after(async () => {
    await group.close();
    await platform.close();
  });

  it('violates no invariant', async () => {
    const aborter = new AbortController();
    const isOver = (): boolean => aborter.signal.aborted;
    const looking = (async () => {
      while (!isOver()) {
        await Promise.all(entries.map(pollCatalogue));
        await sleep(200);
      }
    })();
    const callers = Array.from(
      {length: CALLERS},
      (_, index) => new RequestCaller(`c${index}`, SEED + index, entries, recorder),
    );
    const calling = callers.map((caller) => caller.run(isOver));
    const job = await submitTasks(first);
    ok(job !== undefined, 'the job was accepted');
    await injectFaults();
    await waitFor('a second catalogue is accepted', () => applyCatalogue(second, 1, 90));
    await waitFor('all tasks have succeeded', () => {
      const attempts = [...platform.workers.values()].flatMap(({model}) => model.history);
      const done = attempts.filter(({endState}) => endState === 'succeeded');
      return Promise.resolve(new Set(done.map(({task}) => task)).size === TASKS);
    });
    aborter.abort();
    const answered = (await Promise.all(calling)).reduce((sum, count) => sum + count, 0);
    await looking;
    const history = readHistory();
    const outcomes = groupBy(history.requests, ({outcome}) => outcome);
    console.log([...outcomes].map(([name, list]) => `${name} ${list.length}`).join(', '));
    ok(answered > 0, 'requests were answered');
    ok(history.minionRuns.length > 0, 'minions ran requests');
    ok(history.accepted.length > 0, 'a change was accepted and seen');
    ok(history.seen.length > 0, 'entry VMs showed their revisions');
    deepEqual(checkHistory(history).slice(0, 10), []);
  });

  it('interrupts no request in a planned stop under load', async () => {
    const aborter = new AbortController();
    for (const minion of platform.minions.values()) {
      minion.control({fault: {kind: 'none'}, serviceMs: 100});
    }
    const calling = Array.from({length: CALLERS}, (_, index) => {
      const caller = new RequestCaller(`s${index}`, SEED + index, entries, recorder);
      return caller.run(() => aborter.signal.aborted);
    });
    await sleep(500);
    const startedAt = Date.now();
    const stopped = await first.callOperatorApi('POST', '/v1/stops', {vm: third.vm});
    ok(stopped !== undefined, 'the stop was accepted');
    const end = await third.process?.waitForExit();
    recorder.add('stops', {endedAt: Date.now(), startedAt, vm: third.vm});
    await sleep(500);
    aborter.abort();
    await Promise.all(calling);
    const history = readHistory();
    const atStopped = history.requests.filter(({vm}) => vm === third.vm);
    ok(
      atStopped.some((each) => (each.endedAt ?? 0) > startedAt),
      'no request was served during the stop',
    );
    deepEqual(end, {code: 0, signal: null});
    deepEqual(checkHistory(history).slice(0, 10), []);
  });
});
