import {DRAIN_STARTED} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {request} from 'node:http';
import {describe, it} from 'node:test';
import {setImmediate, setTimeout as sleep} from 'node:timers/promises';

import type {RequestsHarness} from './RequestsHarness.ts';

import {MAX_STOP_IDLE_WAIT_MS} from '../../RequestsConstants.ts';
import {FakeMinion, respondWith, waitUntil, withHarness} from './RequestsHarness.ts';

function send(harness: RequestsHarness, path: string): Promise<Response> {
  return fetch(harness.url(`/entries/alerts/${path}`), {
    body: 'send',
    headers: {connection: 'close'},
    method: 'POST',
  });
}

/** Sends a request whose connection waits to be accepted; resolves to the status, or to the error code. */
function sendUnaccepted(harness: RequestsHarness): Promise<number | string | undefined> {
  return new Promise((resolve) => {
    const call = request(harness.url('/entries/alerts/'), {agent: false, method: 'POST'});
    call.on('response', (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    call.on('error', ({code}: NodeJS.ErrnoException) => {
      resolve(code);
    });
    call.end('send');
  });
}

function stallUntil(untilMs: number): void {
  while (performance.now() < untilMs);
}

describe('planned stop', () => {
  it('waits for a request that is still running when no new ones arrive', async () => {
    const minion = new FakeMinion('m1', () => undefined);
    await withHarness({minions: [minion]}, async (harness) => {
      const early = send(harness, 'early');
      await waitUntil(() => minion.arrivals.length === 1);
      const waits: Promise<void>[] = [];
      harness.bus.dispatch(DRAIN_STARTED, {wait: (work) => waits.push(work)});
      await sleep(1000);
      minion.sockets().forEach((socket) => {
        respondWith('done')(socket, '');
      });
      assert.equal(await (await early).text(), 'done');
      await Promise.all(waits);
    });
  });

  it('does not close its listener because the process was stalled', async () => {
    await withHarness({minions: []}, async (harness) => {
      const waits: Promise<void>[] = [];
      harness.bus.dispatch(DRAIN_STARTED, {wait: (work) => waits.push(work)});
      for (let sent = 0; sent < 3; sent += 1) {
        const late = await send(harness, '');
        assert.equal(late.status, 503);
        await late.text();
        stallUntil(performance.now() + 400);
      }
      await Promise.all(waits);
    });
  });

  it('is delayed while requests arrive, and responds to each of them', async () => {
    await withHarness({minions: []}, async (harness) => {
      const waits: Promise<void>[] = [];
      harness.bus.dispatch(DRAIN_STARTED, {wait: (work) => waits.push(work)});
      for (let sent = 0; sent < 40; sent += 1) {
        const late = await send(harness, '');
        assert.deepEqual([late.status, late.headers.get('nutmegproxy-outcome')], [503, 'not-run']);
        await late.text();
        await sleep(20);
      }
      await Promise.all(waits);
    });
  });

  describe('at the end of the wait for the last requests', () => {
    /** Sends requests that wait together to be accepted when the wait ends; returns what their callers get. */
    async function sendAtEnd(count: number): Promise<readonly (number | string | undefined)[]> {
      let results: readonly (number | string | undefined)[] = [];
      await withHarness({minions: []}, async (harness) => {
        const waits: Promise<void>[] = [];
        harness.bus.dispatch(DRAIN_STARTED, {wait: (work) => waits.push(work)});
        const endsAt = performance.now() + MAX_STOP_IDLE_WAIT_MS;
        while (performance.now() < endsAt - 200) {
          await (await send(harness, '')).text();
          await sleep(20);
        }
        // After immediates come timers, and only then is a connection accepted that was made in the next tick.
        await setImmediate();
        const last = Array.from({length: count}, () => sendUnaccepted(harness));
        await new Promise<void>((resolve) => {
          process.nextTick(resolve);
        });
        stallUntil(endsAt + 100);
        results = await Promise.all(last);
        await Promise.all(waits);
      });
      return results;
    }

    it('responds to a request that arrives then', async () => {
      assert.deepEqual(await sendAtEnd(1), [503]);
    });

    // A poll may accept fewer connections than wait.
    it('responds to all requests that arrive together', async () => {
      const results = await sendAtEnd(20);
      assert.deepEqual(
        results,
        Array.from({length: 20}, () => 503),
      );
    });
  });
});
