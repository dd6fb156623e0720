import {deepEqual, equal, rejects} from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Client} from 'undici';

import type {MinionFault, Standin} from '../../index.ts';

import {
  buildMinionResponse,
  MinionServer,
  REFUSED_HEADER,
  REQUEST_HEADER,
  TcpRelay,
} from '../../index.ts';

describe('MinionServer', () => {
  let client: Client;
  let minion: MinionServer;
  let standin: Standin;

  async function send(id: string, through = client): Promise<{status: number; text: string}> {
    const answer = await through.request({
      body: 'work',
      headers: {[REQUEST_HEADER]: id},
      method: 'POST',
      path: '/run',
    });
    return {status: answer.statusCode, text: await answer.body.text()};
  }

  beforeEach(async () => {
    minion = new MinionServer({connections: 4, slots: 2});
    standin = await minion.start();
    client = new Client(`http://127.0.0.1:${standin.port}`);
  });

  afterEach(async () => {
    await client.destroy();
    await standin.close();
  });

  it('returns the id of each request and records it', async () => {
    deepEqual(await send('r1'), {status: 200, text: buildMinionResponse('r1', 256)});
    const [record] = minion.history;
    equal(record?.request, 'r1');
    equal(record.bodyBytes, 4);
    equal(minion.counters.mostConcurrent, 1);
  });

  it('counts the maximum of concurrent requests', async () => {
    minion.control({serviceMs: 100});
    const second = new Client(`http://127.0.0.1:${standin.port}`);
    await Promise.all([send('r1'), send('r2', second)]);
    equal(minion.counters.mostConcurrent, 2);
    equal(minion.counters.mostConnections, 2);
    await second.destroy();
  });

  describe('faults', () => {
    for (const kind of ['reset', 'truncate'] as const) {
      it(`interrupt the response: ${kind}`, async () => {
        const fault: MinionFault = {atByte: 10, kind, next: 1};
        minion.control({fault});
        await rejects(send('r1'));
        equal((await send('r2')).status, 200);
        deepEqual(
          minion.history.map(({outcome}) => outcome),
          ['cut', 'answered'],
        );
      });
    }

    it('refuse a request without running it', async () => {
      minion.control({fault: {kind: 'refuse', next: 1}, leaving: true});
      const answer = await client.request({method: 'GET', path: '/'});
      equal(answer.statusCode, 503);
      equal(answer.headers[REFUSED_HEADER], 'true');
      equal(answer.headers['nutmegproxy-leaving'], 'true');
      equal(minion.history[0]?.outcome, 'refused');
      await answer.body.dump();
    });
  });

  describe('TcpRelay', () => {
    it('forwards bytes, drops one direction, and resets connections', async () => {
      const relay = new TcpRelay({host: '127.0.0.1', port: standin.port});
      const entrance = await relay.start();
      const through = new Client(`http://127.0.0.1:${entrance.port}`);
      equal((await send('r1', through)).status, 200);
      relay.control({cut: 'from-target'});
      const cut = send('r2', through);
      const failed = rejects(cut);
      while (minion.history.length < 2) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      relay.control({reset: true});
      await failed;
      relay.control({cut: 'none'});
      equal((await send('r3', through)).status, 200);
      await through.destroy();
      await entrance.close();
    });
  });
});
