import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {HarnessOptions, RequestsHarness} from './RequestsHarness.ts';

import {FakeStore} from './FakeStore.ts';
import {
  FakeMinion,
  respondPartially,
  respondWith,
  waitUntil,
  withHarness,
} from './RequestsHarness.ts';

const KEY = '/nutmegproxy/once/alerts/order%207';

interface KeyFixture {
  readonly harness: RequestsHarness;
  readonly minion: FakeMinion;
  readonly send: () => Promise<Response>;
  readonly state: () => string | undefined;
  readonly store: FakeStore;
}

async function withKeys(
  body: (setting: KeyFixture) => Promise<void>,
  options: Partial<HarnessOptions> = {},
): Promise<void> {
  const store = new FakeStore();
  const minion = new FakeMinion('m1', respondWith('done'));
  await withHarness({...options, minions: [minion], store}, async (harness) => {
    const send = (): Promise<Response> =>
      fetch(harness.url('/entries/alerts/'), {
        body: 'send',
        headers: {'idempotency-key': 'order 7'},
        method: 'POST',
      });
    const state = (): string | undefined => {
      const text = store.values.get(KEY)?.value.toString();
      return text === undefined ? undefined : (JSON.parse(text) as {state: string}).state;
    };
    await body({harness, minion, send, state, store});
  });
}

const outcome = (response: Response): null | string => response.headers.get('nutmegproxy-outcome');

describe('idempotency keys', () => {
  it('run a request once and refuse a retry with the state of the first request', async () => {
    await withKeys(async ({minion, send, state}) => {
      assert.equal((await send()).status, 200);
      await waitUntil(() => state() === 'answered');
      const second = await send();
      assert.deepEqual([second.status, outcome(second)], [409, 'not-run']);
      assert.equal(second.headers.get('nutmegproxy-first-try'), 'answered');
      assert.equal(minion.arrivals.length, 1);
    });
  });

  it('let exactly one of many concurrent requests run', async () => {
    await withKeys(async ({minion, send, store}) => {
      const all = await Promise.all(Array.from({length: 20}, send));
      assert.equal(all.filter(({status}) => status === 200).length, 1);
      assert.equal(all.filter((each) => each.status === 409).length, 19);
      assert.equal(minion.arrivals.length, 1);
      assert.ok(store.calls <= 25, `${store.calls} calls`);
    });
  });

  it('refuse requests immediately as not run while the store is down', async () => {
    await withKeys(async ({minion, send, store}) => {
      store.outage = 'unavailable';
      for (let index = 0; index < 5; index += 1) {
        const refused = await send();
        assert.deepEqual([refused.status, outcome(refused)], [503, 'not-run']);
        assert.ok(Number(refused.headers.get('retry-after')) >= 1);
      }
      assert.equal(minion.arrivals.length, 0);
    });
  });

  it('repeat a claim whose response was lost', async () => {
    for (const fault of ['lost-after', 'lost-before'] as const) {
      await withKeys(async ({minion, send, state, store}) => {
        store.faults.push(fault);
        assert.equal((await send()).status, 200, fault);
        await waitUntil(() => state() === 'answered');
        assert.equal(minion.arrivals.length, 1);
      });
    }
  });

  it('delete the key of a claim with an unknown result once the store responds', async () => {
    await withKeys(async ({minion, send, state, store}) => {
      store.faults.push('lost-after', 'lost-after');
      const refused = await send();
      assert.equal(outcome(refused), 'not-run');
      await waitUntil(() => state() === undefined);
      assert.equal(minion.arrivals.length, 0);
    });
  });

  it('delete the key of a request that was not run, so that a retry may run', async () => {
    await withKeys(async ({harness, minion, send, state}) => {
      harness.drain('m1');
      assert.equal(outcome(await send()), 'not-run');
      await waitUntil(() => state() === undefined);
      harness.drain();
      assert.equal((await send()).status, 200);
      assert.equal(minion.arrivals.length, 1);
    });
  });

  it('keep the key of a request whose outcome is unknown', async () => {
    await withKeys(async ({minion, send, state}) => {
      minion.script = respondPartially('', 0, 'reset');
      assert.equal(outcome(await send()), 'outcome-unknown');
      await waitUntil(() => state() === 'unknown');
      const second = await send();
      assert.equal(second.headers.get('nutmegproxy-first-try'), 'unknown');
      assert.equal(minion.arrivals.length, 1, minion.arrivals.join('\n---\n'));
    });
  });

  it('run many requests with different keys', async () => {
    await withKeys(async ({harness, minion}) => {
      const all = Array.from({length: 200}, (_, index) =>
        fetch(harness.url('/entries/alerts/'), {
          headers: {'idempotency-key': `key-${index}`},
          method: 'POST',
        }),
      );
      const statuses = (await Promise.all(all)).map(({status}) => status);
      assert.ok(statuses.every((status) => status === 200));
      assert.equal(minion.arrivals.length, 200);
    });
  });
});
