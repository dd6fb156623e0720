import type {ResolvedSettings} from '@nutmegproxy/settings';
import type {Standin} from '@nutmegproxy/standins';

import {readSettings, Secret} from '@nutmegproxy/settings';
import {MinionServer, StoreServer, VmListServer} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';

import type {Command, EntryProcess} from '../../index.ts';

import {AdminClient, COMMANDS, startEntryProcess} from '../../index.ts';

const WAIT_LIMIT_MS = 20_000;
const POLL_MS = 25;
const OPERATOR = new Secret('operator-token-of-the-test');
const PEER = new Secret('peer-secret-of-the-test-0123456789abcdef');

async function waitFor(check: () => Promise<boolean>, description: string): Promise<void> {
  for (let waitedMs = 0; waitedMs < WAIT_LIMIT_MS; waitedMs += POLL_MS) {
    if (await check()) {
      return;
    }
    await delay(POLL_MS);
  }
  assert.fail(description);
}

describe('EntryProcess', () => {
  let entry: EntryProcess;
  let minion: MinionServer;
  let standins: Standin[];
  let store: StoreServer;

  function createSettings(storePort: number, listPort: number): ResolvedSettings {
    const anyPort = '127.0.0.1:0';
    const document = {
      dataCentre: 'dc-a',
      listen: {callers: anyPort, operators: anyPort, peers: anyPort},
      log: {level: 'error'},
      platform: {
        store: [`http://127.0.0.1:${storePort}`],
        vmList: `http://127.0.0.1:${listPort}`,
      },
      region: 'north',
      secrets: {operator: {env: 'A'}, peer: {env: 'B'}},
      timings: {stopDelayMs: 0},
      vm: 'entry-1',
    };
    return readSettings(JSON.stringify(document), 'test')._unsafeUnwrap();
  }

  async function run(name: string, args: readonly string[], wait = 9): Promise<[number, string]> {
    const lines: string[] = [];
    const print = (text: string): void => {
      lines.push(text);
    };
    const command: Command | undefined = COMMANDS[name];
    const client = new AdminClient(`http://127.0.0.1:${entry.ports.operators}`, OPERATOR);
    const options = {
      json: true,
      reason: undefined,
      revision: undefined,
      servers: [],
      settings: undefined,
      tokenFile: undefined,
      trace: undefined,
      waitSeconds: wait,
    };
    const context = {
      args,
      clients: [client] as const,
      options,
      printError: print,
      printLine: print,
    };
    return [(await command?.(context)) ?? -1, lines.join('\n')];
  }

  function post(path: string, body: unknown, token = OPERATOR.reveal()): Promise<Response> {
    return fetch(`http://127.0.0.1:${entry.ports.operators}${path}`, {
      body: JSON.stringify(body),
      headers: {authorization: `Bearer ${token}`, connection: 'close'},
      method: 'POST',
    });
  }

  beforeEach(async () => {
    store = new StoreServer();
    minion = new MinionServer({connections: 4, slots: 2});
    const list = new VmListServer();
    standins = [await store.start(), await list.start(), await minion.start()];
    const [storePort = 0, listPort = 0, minionPort = 0] = standins.map(({port}) => port);
    const address = `127.0.0.1:${minionPort}`;
    const limits = {connections: 4, slots: 2};
    list.control({
      vms: [
        {
          address,
          dataCentre: 'dc-a',
          id: 'm1',
          role: 'minion',
          service: 's',
          state: 'live',
          ...limits,
        },
      ],
    });
    const started = await startEntryProcess(createSettings(storePort, listPort), {
      operator: OPERATOR,
      peer: PEER,
    });
    entry = started._unsafeUnwrap();
  });

  afterEach(async () => {
    await entry.stop();
    await Promise.all(standins.map((standin) => standin.close()));
  });

  const CATALOGUE = {
    entries: [{class: 'batch', id: 'e', kind: 'request', limits: {}, owner: 't', service: 's'}],
    teams: [{id: 't'}],
  };

  it('serves requests after the catalogue is applied', async () => {
    const applied = await post('/v1/catalogue', {catalogue: CATALOGUE, expectedRevision: 0});
    assert.equal(applied.status, 200);
    const url = `http://127.0.0.1:${entry.ports.callers}/entries/e/path`;
    await waitFor(
      async () => (await fetch(url, {method: 'POST'})).status === 200,
      'the request is served',
    );
    assert.ok(minion.counters.total >= 1);
  });

  it('returns a conflict for an outdated revision and the path of an invalid field', async () => {
    await post('/v1/catalogue', {catalogue: CATALOGUE, expectedRevision: 0});
    const outdated = await post('/v1/catalogue', {
      catalogue: {...CATALOGUE, drains: [{id: 'r', target: 'rack'}]},
      expectedRevision: 0,
    });
    assert.equal(outdated.status, 409);
    assert.equal(((await outdated.json()) as {current: number}).current, 1);
    const invalid = await post('/v1/catalogue/check', {catalogue: {...CATALOGUE, teams: []}});
    assert.equal(invalid.status, 422);
    assert.equal(((await invalid.json()) as {field: string}).field, '/entries/0/owner');
  });

  it('drains and undrains a rack with the commands', async () => {
    const [code] = await run('drain', ['rack', 'r1']);
    assert.equal(code, 0);
    assert.match((await run('catalogue', ['get']))[1], /"target": "rack"/);
    assert.equal((await run('undrain', ['rack', 'r1']))[0], 0);
    assert.equal((await run('drain', ['rack']))[0], 2);
  });

  it('reports that no change was made while the store is down', async () => {
    store.control({down: true});
    const [code, text] = await run('drain', ['rack', 'r1'], 0);
    store.control({down: false});
    assert.equal(code, 5);
    assert.match(text, /no change was made/);
  });

  it('stops when the catalogue lists its VM under `stops`', async () => {
    assert.equal((await run('stop', ['entry-1'], 0))[0] >= 0, true);
    assert.equal(await entry.whenStopped, 'stopped');
  });
});
