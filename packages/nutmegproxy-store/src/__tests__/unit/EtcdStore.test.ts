import type {Standin} from '@nutmegproxy/standins';
import type {AddressInfo, Server} from 'node:net';

import {SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {listen, sendJsonAtRate, StoreServer} from '@nutmegproxy/standins';
import {ok as assertOk, deepEqual, equal} from 'node:assert/strict';
import {createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Registry} from 'prom-client';

import type {Transaction, WatchEvent} from '../../index.ts';

import {EtcdStore, getKey, getPrefix, put} from '../../index.ts';

const CREATE: Transaction = {
  compare: [{key: '/a', kind: 'modRevision', modRevision: 0}],
  otherwise: [{key: '/a', kind: 'get'}],
  then: [{key: '/a', kind: 'put', value: Buffer.from('1')}],
};

function text(value: Buffer | undefined): string | undefined {
  return value?.toString();
}

async function listenOnFreePort(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = Date.now() + 10_000;
  while (!condition()) {
    assertOk(Date.now() < deadline, 'the condition did not hold within 10 s');
    await sleep(5);
  }
}

describe('EtcdStore', () => {
  let server: StoreServer;
  let standin: Standin;
  let store: EtcdStore;

  function connect(baseUrls: readonly string[], timeoutMs = 2000): EtcdStore {
    return new EtcdStore({
      baseUrls,
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      metrics: new Registry(),
      timeoutMs,
    });
  }

  beforeEach(async () => {
    server = new StoreServer();
    standin = await server.start();
    store = connect([`http://127.0.0.1:${standin.port}`]);
  });

  afterEach(async () => {
    await store.close();
    await standin.close();
  });

  describe('commit', () => {
    it('creates a key once and returns the existing value to the second transaction', async () => {
      const first = (await store.commit(CREATE))._unsafeUnwrap();
      const second = (await store.commit(CREATE))._unsafeUnwrap();
      equal(first.succeeded, true);
      equal(second.succeeded, false);
      const response = second.responses[0];
      assertOk(response?.kind === 'get');
      equal(text(response.values[0]?.value), '1');
      equal(response.values[0]?.modRevision, first.revision);
    });

    it('applies nested transactions, each under its own conditions', async () => {
      await put(store, '/b', Buffer.from('x'));
      const nested = (key: string): Transaction => ({
        compare: [{key, kind: 'modRevision', modRevision: 0}],
        then: [{key, kind: 'put', value: Buffer.from('n')}],
      });
      const response = (
        await store.commit({
          compare: [],
          then: [
            {kind: 'transaction', transaction: nested('/a')},
            {kind: 'transaction', transaction: nested('/b')},
          ],
        })
      )._unsafeUnwrap();
      const outcomes = response.responses.map(
        (each) => each.kind === 'transaction' && each.response.succeeded,
      );
      deepEqual(outcomes, [true, false]);
      equal(text((await getKey(store, '/b'))._unsafeUnwrap()?.value), 'x');
    });

    it('reads by prefix in key order and deletes by prefix', async () => {
      await put(store, '/p/2', Buffer.from('b'));
      await put(store, '/p/1', Buffer.from('ä'));
      await put(store, '/q', Buffer.from('c'));
      const snapshot = (await getPrefix(store, '/p/'))._unsafeUnwrap();
      deepEqual(
        snapshot.values.map(({key, value}) => [key, text(value)]),
        [
          ['/p/1', 'ä'],
          ['/p/2', 'b'],
        ],
      );
      await store.commit({compare: [], then: [{key: '/p/', kind: 'delete', prefix: true}]});
      equal((await getPrefix(store, '/p/'))._unsafeUnwrap().values.length, 0);
      equal(text((await getKey(store, '/q'))._unsafeUnwrap()?.value), 'c');
    });

    it('fails with rejected when the store refuses a call', async () => {
      const value = Buffer.alloc(1024 * 1024 + 1);
      equal((await put(store, '/big', value))._unsafeUnwrapErr().kind, 'rejected');
    });

    it('fails with unknown when a response is lost, and the write takes effect once', async () => {
      server.control({loseNext: 1});
      equal((await store.commit(CREATE))._unsafeUnwrapErr().kind, 'unknown');
      equal(text((await getKey(store, '/a'))._unsafeUnwrap()?.value), '1');
      equal(server.counters.write, 1);
    });

    it('fails with unavailable when the response to a read is lost', async () => {
      server.control({loseNext: 1});
      equal((await getKey(store, '/a'))._unsafeUnwrapErr().kind, 'unavailable');
    });

    it('reads values whose transfer takes longer than the timeout of a call', async () => {
      const slow = await listen(0, {
        'POST /v3/kv/txn': ({response}) => {
          const kvs = [{key: Buffer.from('/a').toString('base64'), value: 'AAAA'.repeat(5_000)}];
          const found = {header: {revision: '1'}, responses: [{responseRange: {kvs}}]};
          return sendJsonAtRate(response, {...found, succeeded: true}, 20_000);
        },
      });
      const shortTimeoutStore = connect([`http://127.0.0.1:${slow.port}`], 400);
      const read = await getKey(shortTimeoutStore, '/a');
      await shortTimeoutStore.close();
      await slow.close();
      equal(read._unsafeUnwrap()?.value.length, 15_000);
    });

    it('fails with unknown when a write exceeds its deadline', async () => {
      const shortTimeoutStore = connect([`http://127.0.0.1:${standin.port}`], 50);
      server.control({delayMs: 400});
      equal((await shortTimeoutStore.commit(CREATE))._unsafeUnwrapErr().kind, 'unknown');
      await shortTimeoutStore.close();
    });

    it('does not send a call whose deadline passed while it waited for a connection', async () => {
      const shortTimeoutStore = connect([`http://127.0.0.1:${standin.port}`], 100);
      server.control({delayMs: 300});
      const outcomes = await Promise.all(
        Array.from({length: 12}, (_, index) =>
          put(shortTimeoutStore, `/w/${index}`, Buffer.from('1')),
        ),
      );
      const kinds = outcomes.map((outcome) => outcome._unsafeUnwrapErr().kind);
      server.control({delayMs: 0});
      await sleep(400);
      const written = new Set(
        (await getPrefix(store, '/w/'))._unsafeUnwrap().values.map(({key}) => key),
      );
      assertOk(kinds.includes('unavailable'));
      kinds.forEach((kind, index) => {
        assertOk(kind === 'unknown' || !written.has(`/w/${index}`));
      });
      await shortTimeoutStore.close();
    });

    it('fails with unavailable on a refused connection and tries the next base URL', async () => {
      const unused = createServer();
      const port = await listenOnFreePort(unused);
      await new Promise((resolve) => unused.close(resolve));
      const refusedUrl = `http://127.0.0.1:${port}`;
      const singleUrlStore = connect([refusedUrl]);
      equal((await singleUrlStore.commit(CREATE))._unsafeUnwrapErr().kind, 'unavailable');
      await singleUrlStore.close();
      const twoUrlStore = connect([refusedUrl, `http://127.0.0.1:${standin.port}`]);
      equal((await twoUrlStore.commit(CREATE))._unsafeUnwrap().succeeded, true);
      await twoUrlStore.close();
    });

    it('sends a write only once when the connection is reset', async () => {
      let requests = 0;
      const resetting = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => {
          requests += 1;
          socket.resetAndDestroy();
        });
      });
      const port = await listenOnFreePort(resetting);
      const failoverStore = connect([
        `http://127.0.0.1:${port}`,
        `http://127.0.0.1:${standin.port}`,
      ]);
      equal((await failoverStore.commit(CREATE))._unsafeUnwrapErr().kind, 'unknown');
      equal(requests, 1);
      equal(server.counters.write, 0);
      await failoverStore.close();
      resetting.close();
    });
  });

  describe('leases', () => {
    it('grants, keeps alive and revokes a lease; a revoked lease has no time to live', async () => {
      const {lease, ttlSeconds} = (await store.grantLease(5))._unsafeUnwrap();
      equal(ttlSeconds, 5);
      await put(store, '/l', Buffer.from('1'), lease);
      equal((await store.keepLeaseAlive(lease))._unsafeUnwrap().ttlSeconds, 5);
      assertOk((await store.revokeLease(lease)).isOk());
      equal((await getKey(store, '/l'))._unsafeUnwrap(), undefined);
      equal((await store.keepLeaseAlive(lease))._unsafeUnwrap().ttlSeconds, 0);
      equal((await store.revokeLease(lease))._unsafeUnwrapErr().kind, 'rejected');
      const late = await put(store, '/l', Buffer.from('1'), lease);
      equal(late._unsafeUnwrapErr().kind, 'rejected');
    });
  });

  describe('watch', () => {
    it('delivers every change once and in order across disconnections', async () => {
      const seen: string[] = [];
      const record = (events: readonly WatchEvent[]): void => {
        seen.push(
          ...events.map((event) =>
            event.kind === 'put' ? event.stored.value.toString() : 'deleted',
          ),
        );
      };
      let broken = 0;
      const start = (await put(store, '/w', Buffer.from('0')))._unsafeUnwrap();
      const watch = store.watch('/w', start + 1, {
        onBroken: () => {
          broken += 1;
        },
        onEvents: record,
      });
      await put(store, '/w', Buffer.from('1'));
      await waitFor(() => seen.length === 1);
      server.control({cutWatches: true});
      await put(store, '/w', Buffer.from('2'));
      await put(store, '/w', Buffer.from('3'));
      await waitFor(() => seen.length === 3);
      await store.commit({compare: [], then: [{key: '/w', kind: 'delete'}]});
      await waitFor(() => seen.length === 4);
      deepEqual(seen, ['1', '2', '3', 'deleted']);
      equal(broken, 0);
      watch.close();
    });

    it('is reopened after the idle timeout and misses no event', async () => {
      const shortTimeoutStore = new EtcdStore({
        baseUrls: [`http://127.0.0.1:${standin.port}`],
        clock: SYSTEM_CLOCK,
        events: SILENT_EVENTS,
        metrics: new Registry(),
        watchIdleTimeoutMs: 20,
      });
      const seen: number[] = [];
      const watch = shortTimeoutStore.watch('/w', 0, {
        onBroken: () => undefined,
        onEvents: (_events, revision) => {
          seen.push(revision);
        },
      });
      await waitFor(() => server.counters.watch >= 3);
      const revision = (await put(store, '/w', Buffer.from('1')))._unsafeUnwrap();
      await waitFor(() => seen.length === 1);
      deepEqual(seen, [revision]);
      watch.close();
      await shortTimeoutStore.close();
    });

    it('calls onBroken after it is reopened when events were lost', async () => {
      const start = (await put(store, '/w', Buffer.from('0')))._unsafeUnwrap();
      await put(store, '/w', Buffer.from('1'));
      server.control({compact: true});
      let broken = 0;
      const seen: number[] = [];
      const watch = store.watch('/w', start + 1, {
        onBroken: () => {
          broken += 1;
        },
        onEvents: (_events, revision) => {
          seen.push(revision);
        },
      });
      await waitFor(() => broken === 1);
      const revision = (await put(store, '/w', Buffer.from('2')))._unsafeUnwrap();
      await waitFor(() => seen.length === 1);
      deepEqual(seen, [revision]);
      watch.close();
    });
  });
});
