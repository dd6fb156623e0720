import type {Standin} from '@nutmegproxy/standins';

import {SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {buildMinionResponse, MinionServer, REQUEST_HEADER} from '@nutmegproxy/standins';
import {EtcdStore, put} from '@nutmegproxy/store';
import {deepEqual, equal, rejects} from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Registry} from 'prom-client';
import {request as send} from 'undici';

import {
  checkHistory,
  HistoryRecorder,
  ProcessGroup,
  readAttemptRuns,
  readMinionRuns,
} from '../../index.ts';

const STANDINS = 'dist/standins.cjs';

describe('ProcessGroup', () => {
  let group: ProcessGroup;

  beforeEach(() => {
    group = new ProcessGroup();
  });

  afterEach(async () => {
    await group.close();
  });

  it('starts a process, kills it and starts another', async () => {
    const plan = {args: ['store', '--port', '0'], name: 'store', program: STANDINS};
    const first = await group.start(plan);
    deepEqual(await first.kill(), {code: null, signal: 'SIGKILL'});
    equal(first.isRunning, false);
    const second = await group.start(plan);
    equal(second.isRunning, true);
  });

  it('pauses a process, so that calls to it have an unknown outcome, and resumes it', async () => {
    const args = ['store', '--port', '0'];
    const store = await group.start({args, name: 'store', program: STANDINS});
    const client = new EtcdStore({
      baseUrls: [`http://127.0.0.1:${store.readyMessage}`],
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      metrics: new Registry(),
      timeoutMs: 300,
    });
    equal((await put(client, '/a', Buffer.from('1'))).isOk(), true);
    store.pause();
    equal((await put(client, '/a', Buffer.from('2')))._unsafeUnwrapErr().kind, 'unknown');
    store.resume();
    equal((await put(client, '/a', Buffer.from('3'))).isOk(), true);
    await client.close();
  });

  it('reports the output of a process that did not become ready', async () => {
    await rejects(group.start({args: ['nothing'], name: 'none', program: STANDINS}), /usage/);
  });
});

describe('histories of stand-ins', () => {
  let minion: MinionServer;
  let standin: Standin;

  beforeEach(async () => {
    minion = new MinionServer({connections: 4, slots: 2});
    standin = await minion.start();
  });

  afterEach(async () => {
    await standin.close();
  });

  it('are converted to a history without violations', async () => {
    const recorder = new HistoryRecorder();
    minion.control({fault: {kind: 'refuse', next: 1}});
    for (const name of ['r1', 'r2']) {
      const startedAt = Date.now();
      const headers = {[REQUEST_HEADER]: name};
      const answer = await send(`http://127.0.0.1:${standin.port}/`, {headers});
      recorder.add('requests', {
        answer: await answer.body.text(),
        endedAt: Date.now(),
        expectedAnswer: buildMinionResponse(name, 256),
        idempotent: false,
        outcome: answer.statusCode === 503 ? 'not-run' : 'answered',
        request: name,
        startedAt,
        vm: 'none',
      });
    }
    recorder.add('minions', {minion: 'm1', slots: 2});
    recorder.add('minionRuns', ...readMinionRuns('m1', minion.history));
    recorder.add('attempts', ...readAttemptRuns([], new Map()));
    const history = recorder.close(true);
    deepEqual(
      history.minionRuns.map(({request}) => request),
      ['r2'],
    );
    deepEqual(checkHistory(history), []);
  });
});
