import type {EntryNode} from '@nutmegproxy/core';

import {brand, CommandBus, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Registry} from 'prom-client';

import {matchPath} from '../../AdminRoute.ts';
import {AdminApi, createJsonResponse, registerAdminRoute} from '../../index.ts';

const NODE: EntryNode = {
  bus: new CommandBus(),
  clock: SYSTEM_CLOCK,
  events: SILENT_EVENTS,
  identity: {
    dataCentre: brand('dc-a'),
    incarnation: brand('i1'),
    region: brand('north'),
    vm: brand('entry-1'),
  },
  metrics: new Registry(),
};
const TOKEN = 'operator-token';

describe('AdminApi', () => {
  let api: AdminApi;
  let base: string;

  beforeEach(async () => {
    api = new AdminApi(NODE, TOKEN);
    registerAdminRoute(api, {
      handler: ({body, params}) => createJsonResponse({body, params}),
      method: 'POST',
      path: '/v1/echo/:name',
    });
    registerAdminRoute(api, {
      handler: () => {
        throw new Error('internal detail');
      },
      method: 'GET',
      path: '/v1/broken',
    });
    base = `http://127.0.0.1:${await api.listen('127.0.0.1', 0)}`;
  });

  afterEach(() => api.close());

  async function call(path: string, init: RequestInit, token = TOKEN): Promise<[number, string]> {
    const headers = {authorization: `Bearer ${token}`, connection: 'close'};
    const response = await fetch(base + path, {...init, headers});
    return [response.status, await response.text()];
  }

  describe('authentication', () => {
    it('rejects an invalid token on every path', async () => {
      assert.equal((await call('/v1/echo/a', {method: 'POST'}, 'other'))[0], 401);
      assert.equal((await call('/nothing', {}, ''))[0], 401);
    });
  });

  describe('routing', () => {
    it('passes parameters and the body', async () => {
      const [status, text] = await call('/v1/echo/a%20b', {body: '{"x":1}', method: 'POST'});
      assert.equal(status, 200);
      assert.deepEqual(JSON.parse(text), {body: {x: 1}, params: {name: 'a b'}});
    });

    it('distinguishes an unknown path, an unknown method and an invalid body', async () => {
      assert.equal((await call('/v1/none', {}))[0], 404);
      assert.equal((await call('/v1/echo/a', {}))[0], 405);
      assert.equal((await call('/v1/echo/a', {body: '{', method: 'POST'}))[0], 422);
    });

    it("does not return an internal error's message", async () => {
      const [status, text] = await call('/v1/broken', {});
      assert.equal(status, 500);
      assert.equal(text.includes('detail'), false);
    });

    it('does not match a malformed escape', () => {
      assert.equal(matchPath('/v1/echo/:name', '/v1/echo/%E0%A4%A'), undefined);
    });
  });
});
