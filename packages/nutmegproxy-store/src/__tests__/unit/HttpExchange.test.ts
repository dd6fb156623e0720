import assert from 'node:assert/strict';
import {once} from 'node:events';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {Pool} from 'undici';

import {exchange} from '../../HttpExchange.ts';

const TIMEOUT_MS = 300;
/** Time in milliseconds for which this process is stalled; the response arrives meanwhile. */
const STALL_MS = 900;

/** A server in a thread of its own, which responds while this one is stalled. */
const SERVER = `
const {parentPort} = require('node:worker_threads');
const {createServer} = require('node:http');
const server = createServer((request, response) => {
  parentPort.postMessage('received');
  if (request.url === '/answered') {
    setTimeout(() => response.end('done'), 100);
  } else if (request.url === '/closed') {
    request.socket.destroy();
  }
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

function stall(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until) {
    // The event loop is blocked on purpose.
  }
}

describe('exchange', () => {
  let origin: string;
  let pool: Pool;
  let worker: Worker;

  beforeEach(async () => {
    worker = new Worker(SERVER, {eval: true});
    const [port] = (await once(worker, 'message')) as [number];
    origin = `http://127.0.0.1:${port}`;
    pool = new Pool(origin);
  });

  afterEach(async () => {
    await pool.destroy();
    await worker.terminate();
  });

  function send(path: string): ReturnType<typeof exchange> {
    return exchange(pool, {
      maxResponseBytes: 100,
      method: 'GET',
      origin,
      path,
      timeoutMs: TIMEOUT_MS,
    });
  }

  it('tells a call that timed out from one whose connection was closed', async () => {
    assert.equal((await send('/unanswered'))._unsafeUnwrapErr().isTimeout, true);
    assert.equal((await send('/closed'))._unsafeUnwrapErr().isTimeout, false);
    await worker.terminate();
    assert.equal((await send('/refused'))._unsafeUnwrapErr().isTimeout, false);
  });

  describe('a stall of this process beyond the timeout', () => {
    it('does not fail a call whose response has arrived', async () => {
      const response = send('/answered');
      await once(worker, 'message');
      stall(STALL_MS);
      assert.equal((await response)._unsafeUnwrap().body.toString(), 'done');
    });

    it('fails a call without a response', async () => {
      const response = send('/silent');
      await once(worker, 'message');
      stall(STALL_MS);
      assert.equal((await response)._unsafeUnwrapErr().kind, 'sent');
    });
  });
});
