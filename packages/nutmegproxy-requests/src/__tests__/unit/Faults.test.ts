import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, connect, createServer} from 'node:net';
import {describe, it} from 'node:test';

import {openConnection} from '../../MinionConnection.ts';
import {
  ALERTS,
  FakeMinion,
  respondWith,
  sendRaw,
  waitUntil,
  withHarness,
} from './RequestsHarness.ts';

const REQUEST = {body: Buffer.from('send'), headers: {}, method: 'POST', path: '/'};
const DEADLINE = AbortSignal.timeout(20_000);

/** Runs `body` with a server that resets each connection after reading `bytes` bytes. */
async function withResettingServer(
  bytes: number,
  body: (address: string, connections: () => number) => Promise<void>,
): Promise<void> {
  let connections = 0;
  const server = createServer((socket) => {
    let read = 0;
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      read += chunk.length;
      if (read >= bytes) {
        socket.resetAndDestroy();
      }
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  try {
    await body(`127.0.0.1:${port}`, () => connections);
  } finally {
    server.close();
  }
}

describe('MinionConnection', () => {
  for (const bytes of [1, 40, 70]) {
    it(`does not resend after a reset at byte ${bytes} of the request`, async () => {
      await withResettingServer(bytes, async (address, connections) => {
        const opened = await openConnection(address, DEADLINE);
        const connection = opened._unsafeUnwrap();
        const first = await connection.send(REQUEST, DEADLINE);
        assert.ok(first.isErr());
        const second = await connection.send(REQUEST, DEADLINE);
        assert.equal(second._unsafeUnwrapErr().wasSent, false);
        await connection.close();
        assert.equal(connections(), 1);
        assert.equal(connection.isUsable, false);
      });
    });
  }

  it('reports that nothing was sent on a closed connection', async () => {
    await withResettingServer(1, async (address) => {
      const connection = (await openConnection(address, DEADLINE))._unsafeUnwrap();
      await connection.close();
      const failure = (await connection.send(REQUEST, DEADLINE))._unsafeUnwrapErr();
      assert.equal(failure.wasSent, false);
    });
  });

  it('reports that nothing was sent if the call was already cancelled', async () => {
    await withResettingServer(1, async (address) => {
      const connection = (await openConnection(address, DEADLINE))._unsafeUnwrap();
      const failure = (await connection.send(REQUEST, AbortSignal.abort()))._unsafeUnwrapErr();
      assert.equal(failure.wasSent, false);
      await connection.close();
    });
  });

  it('fails to connect to a port without a listener', async () => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    assert.ok((await openConnection(`127.0.0.1:${port}`, DEADLINE)).isErr());
  });
});

describe('requests under faults', () => {
  const post = (url: string): Promise<Response> => fetch(url, {body: 'send', method: 'POST'});
  const outcome = (response: Response): null | string =>
    response.headers.get('nutmegproxy-outcome');

  it('retries a request that was not sent, even if it is not idempotent', async () => {
    const closed = new FakeMinion('m1', respondWith('gone'));
    const good = new FakeMinion('m2', respondWith('good'));
    await withHarness({minions: [closed, good]}, async (harness) => {
      closed.close();
      for (let index = 0; index < 6; index += 1) {
        assert.equal(await (await post(harness.url('/entries/alerts/'))).text(), 'good');
      }
      assert.equal(closed.arrivals.length, 0);
      assert.equal(good.arrivals.length, 6);
    });
  });

  it('refuses waiting requests immediately when tenure is lost', async () => {
    const minion = new FakeMinion('m1', () => undefined);
    await withHarness({minions: [minion], shares: 1}, async (harness) => {
      const first = post(harness.url('/entries/alerts/'));
      await waitUntil(() => minion.arrivals.length === 1);
      const waiting = post(harness.url('/entries/alerts/'));
      harness.hasTenure = false;
      assert.equal(outcome(await waiting), 'not-run');
      const [socket] = minion.sockets();
      assert.ok(socket);
      respondWith('late')(socket, '');
      assert.equal(await (await first).text(), 'late');
      assert.equal(minion.arrivals.length, 1);
    });
  });

  it('sends nothing if the minion is drained while the request waits', async () => {
    const minion = new FakeMinion('m1', () => undefined);
    await withHarness({minions: [minion], shares: 1}, async (harness) => {
      const first = post(harness.url('/entries/alerts/'));
      await waitUntil(() => minion.arrivals.length === 1);
      const waiting = post(harness.url('/entries/alerts/'));
      harness.drain('m1');
      assert.equal(outcome(await waiting), 'not-run');
      const [socket] = minion.sockets();
      assert.ok(socket);
      respondWith('finished')(socket, '');
      assert.equal(await (await first).text(), 'finished');
      assert.equal(minion.arrivals.length, 1);
    });
  });

  it('keeps the slot of a cancelled request until the minion closes the connection', async () => {
    const minion = new FakeMinion('m1', () => undefined, true);
    await withHarness({minions: [minion], shares: 1}, async (harness) => {
      const cancel = new AbortController();
      const first = fetch(harness.url('/entries/alerts/'), {signal: cancel.signal});
      await waitUntil(() => minion.arrivals.length === 1);
      cancel.abort();
      await assert.rejects(first);
      minion.script = respondWith('x');
      const second = post(harness.url('/entries/alerts/'));
      await new Promise((resolve) => setTimeout(resolve, 50));
      assert.equal(minion.connectionsMax, 1);
      minion.sockets().forEach((socket) => socket.end());
      assert.equal((await second).status, 200);
      assert.equal(minion.connectionsMax, 1);
    });
  });

  it('drops a waiting request whose caller disconnects', async () => {
    const minion = new FakeMinion('m1', () => undefined);
    await withHarness({minions: [minion], shares: 1}, async (harness) => {
      const first = post(harness.url('/entries/alerts/first'));
      await waitUntil(() => minion.arrivals.length === 1);
      const leaver = connect(harness.port, '127.0.0.1');
      leaver.write('POST /entries/alerts/leaver HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n');
      await waitUntil(() => harness.countOpenRequests() === 2);
      leaver.destroy();
      await waitUntil(() => harness.countOpenRequests() === 1);
      minion.script = respondWith('x');
      const [socket] = minion.sockets();
      assert.ok(socket);
      respondWith('x')(socket, '');
      await first;
      assert.equal((await post(harness.url('/entries/alerts/next'))).status, 200);
      assert.ok(minion.arrivals.every((arrival) => !arrival.includes('leaver')));
    });
  });

  it('sends nothing of a truncated or oversized body', async () => {
    const minion = new FakeMinion('m1', respondWith('x'));
    const small = {...ALERTS, limits: {bodyBytes: 100}};
    await withHarness({entries: [small], minions: [minion]}, async (harness) => {
      const head = 'POST /entries/alerts/ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n';
      const large = `${head}transfer-encoding: chunked\r\n\r\nff\r\n${'x'.repeat(255)}\r\n0\r\n\r\n`;
      assert.match(await sendRaw(harness.port, large), /^HTTP\/1.1 413/);
      const caller = connect(harness.port, '127.0.0.1');
      caller.write(`${head}content-length: 50\r\n\r\nhalf`);
      await waitUntil(() => harness.countOpenRequests() === 1);
      caller.destroy();
      await waitUntil(() => harness.countOpenRequests() === 0);
      assert.equal(minion.arrivals.length, 0);
    });
  });

  it('does not reuse an idle connection that the minion has closed', async () => {
    const minion = new FakeMinion('m1', respondWith('x'));
    await withHarness({minions: [minion], shares: 1}, async (harness) => {
      for (let index = 0; index < 5; index += 1) {
        assert.equal((await post(harness.url('/entries/alerts/'))).status, 200);
        minion.sockets().forEach((socket) => socket.end());
        await waitUntil(() => minion.connections === 0);
      }
      assert.equal(minion.arrivals.length, 5);
    });
  });
});
