import {DRAIN_STARTED} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {RequestsHarness} from './RequestsHarness.ts';

import {FakeMinion, respondWith, waitUntil, withHarness} from './RequestsHarness.ts';

function send(harness: RequestsHarness, path: string): Promise<Response> {
  return fetch(harness.url(`/entries/alerts/${path}`), {
    body: 'send',
    headers: {connection: 'close'},
    method: 'POST',
  });
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
        const stalledUntil = performance.now() + 400;
        while (performance.now() < stalledUntil);
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
});
