import type {AddressInfo} from 'node:net';

import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {after, before, describe, it} from 'node:test';
import {request} from 'undici';

import type {RouteRequest} from '../../TaskRoutes.ts';

import {adaptRoute} from '../../CallerAdapter.ts';

describe('caller adapter', () => {
  const seen: RouteRequest[] = [];
  const handler = adaptRoute((route) => {
    seen.push(route);
    return Promise.resolve({body: '{"é":1}', headers: {'x-a': 'b'}, status: 201});
  });
  const server = createServer((incoming, response) => {
    void handler({request: incoming, response});
  });
  let url = '';

  before(async () => {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  it('passes the complete request body and response', async () => {
    const answer = await request(`${url}/tasks?x=1`, {body: '{"entry":"e"}', method: 'POST'});
    assert.equal(answer.statusCode, 201);
    assert.equal(answer.headers['x-a'], 'b');
    assert.equal(await answer.body.text(), '{"é":1}');
    assert.equal(seen[0]?.path, '/tasks');
    assert.equal(seen[0].body.toString(), '{"entry":"e"}');
  });

  it('rejects a body that is too large as not run', async () => {
    const body = 'x'.repeat(400_000);
    const answer = await request(`${url}/tasks`, {body, method: 'POST'});
    assert.equal(answer.statusCode, 413);
    assert.equal(answer.headers['nutmegproxy-outcome'], 'not-run');
    await answer.body.dump();
    assert.equal(seen.length, 1);
  });
});
