import type {AllotmentRecord} from '@nutmegproxy/schema';
import type {Standin} from '@nutmegproxy/standins';

import {SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {StoreServer, VmListServer} from '@nutmegproxy/standins';
import {EtcdStore, getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Registry} from 'prom-client';

import {serve} from '../../Serve.ts';

const WAIT_LIMIT_MS = 20_000;
const RECORD_KEY = '/nutmegproxy/dc/dc-1/allotment';
const WATCHED_EVENTS = ['SIGINT', 'SIGTERM', 'uncaughtException', 'unhandledRejection'] as const;
const ENVIRONMENT = {OPERATOR: 'operator-token-of-the-test-0123456789', PEER: 'p'.repeat(40)};

describe('serve', () => {
  let folder: string;
  let path: string;
  let standins: Standin[];
  let store: EtcdStore;
  const listeners = new Map<string, readonly unknown[]>();

  beforeEach(async () => {
    for (const name of WATCHED_EVENTS) {
      listeners.set(name, process.listeners(name as 'SIGTERM'));
    }
    standins = [await new StoreServer().start(), await new VmListServer().start()];
    const [storePort = 0, listPort = 0] = standins.map(({port}) => port);
    const anyPort = '127.0.0.1:0';
    folder = mkdtempSync(join(tmpdir(), 'nutmegproxy-'));
    path = join(folder, 'settings.jsonc');
    const settings = {
      dataCentre: 'dc-1',
      listen: {callers: anyPort, operators: anyPort, peers: anyPort},
      log: {level: 'error'},
      platform: {
        store: [`http://127.0.0.1:${storePort}`],
        vmList: `http://127.0.0.1:${listPort}`,
      },
      region: 'region-1',
      secrets: {operator: {env: 'OPERATOR'}, peer: {env: 'PEER'}},
      timings: {stopDelayMs: 0, tenureTtlMs: 2_000},
      vm: 'vm-1',
    };
    writeFileSync(path, JSON.stringify(settings));
    store = new EtcdStore({
      baseUrls: [`http://127.0.0.1:${storePort}`],
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      metrics: new Registry(),
      timeoutMs: 2_000,
    });
  });

  afterEach(async () => {
    for (const name of WATCHED_EVENTS) {
      const before = listeners.get(name) ?? [];
      for (const listener of process.listeners(name as 'SIGTERM')) {
        if (!before.includes(listener)) {
          process.removeListener(name, listener);
        }
      }
    }
    await store.close();
    await Promise.all(standins.map((standin) => standin.close()));
    rmSync(folder, {recursive: true});
  });

  async function readRecord(): Promise<AllotmentRecord | undefined> {
    const stored = (await getKey(store, RECORD_KEY))._unsafeUnwrap();
    return stored === undefined
      ? undefined
      : (JSON.parse(stored.value.toString('utf8')) as AllotmentRecord);
  }

  /** Waits until the record's first member is not `known` and returns its incarnation. */
  async function waitForMember(known: string | undefined): Promise<string> {
    const end = Date.now() + WAIT_LIMIT_MS;
    for (;;) {
      const [member] = (await readRecord())?.members ?? [];
      if (member !== undefined && member.incarnation !== known) {
        return member.incarnation;
      }
      assert.ok(Date.now() < end, 'no process joined in time');
      await sleep(20);
    }
  }

  it('restarts as a new incarnation after it was removed from the membership record', async () => {
    const lines: string[] = [];
    const print = (text: string): void => {
      lines.push(text);
    };
    const ended = serve(path, ENVIRONMENT, {printError: print, printLine: print});
    const first = await waitForMember(undefined);
    const record = await readRecord();
    const recordWithoutMembers = JSON.stringify({...record, changeId: 'removal', members: []});
    (await put(store, RECORD_KEY, Buffer.from(recordWithoutMembers)))._unsafeUnwrap();
    const second = await waitForMember(first);
    process.emit('SIGTERM');
    assert.equal(await ended, 0);
    assert.notEqual(second, first);
    assert.equal(lines.filter((line) => line.startsWith('ready ')).length, 2);
    assert.deepEqual((await readRecord())?.members, []);
  });
});
