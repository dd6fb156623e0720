import type {CatalogueView} from '@nutmegproxy/catalogue';
import type {SlotUse} from '@nutmegproxy/requests';
import type {Entry, Vm} from '@nutmegproxy/schema';
import type {PlatformStore} from '@nutmegproxy/store';

import {brand} from '@nutmegproxy/core';
import {WsPeerMesh} from '@nutmegproxy/peers';
import {readSettings} from '@nutmegproxy/settings';
import {MemoryStore, MinionServer} from '@nutmegproxy/standins';
import {HttpWorkerClient} from '@nutmegproxy/workers';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {WorkFeatures} from '../../WorkFeatures.ts';

import {createNode} from '../../NodeFactory.ts';
import {registerWork} from '../../WorkFeatures.ts';

const ENTRY: Entry = {
  class: 'latency-critical',
  id: 'alerts',
  kind: 'request',
  limits: {timeoutMs: 10_000},
  owner: 'oportuna',
  service: 'mesa',
};
const SLOTS = 8;
const SERVICE_MS = 400;
const PEER_SECRET = 'peer-secret-0123456789abcdef0123456789';
const WAIT_LIMIT_MS = 20_000;

const VIEW: CatalogueView = {
  entries: new Map([[brand(ENTRY.id), ENTRY]]),
  isDrained: () => false,
  revision: 1,
  stoppedVms: new Set(),
  teams: new Map([[brand('oportuna'), {id: 'oportuna'}]]),
};

interface RunningVm {
  readonly close: () => Promise<void>;
  readonly metrics: () => Promise<string>;
  readonly ownShare: () => number;
  readonly slotUse: () => SlotUse;
  readonly url: string;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const end = Date.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    assert.ok(Date.now() < end, 'the condition was not met in time');
    await sleep(20);
  }
}

function createSettings(vm: string) {
  const text = JSON.stringify({
    dataCentre: 'dc-1',
    listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'},
    log: {level: 'error'},
    platform: {store: ['http://127.0.0.1:1'], vmList: 'http://127.0.0.1:1'},
    region: 'region-1',
    secrets: {operator: {env: 'OPERATOR'}, peer: {env: 'PEER'}},
    timings: {tenureTtlMs: 2_000},
    vm,
  });
  return readSettings(text, 'test')._unsafeUnwrap();
}

async function startVm(vm: string, store: PlatformStore, vms: readonly Vm[]): Promise<RunningVm> {
  const settings = createSettings(vm);
  const {log, node} = createNode(settings);
  const mesh = new WsPeerMesh(node, {listen: '127.0.0.1:0', secret: PEER_SECRET, seeds: []});
  await mesh.start();
  const workers = new HttpWorkerClient();
  const work: WorkFeatures = registerWork(
    {
      log,
      node,
      onListedStop: () => undefined,
      secrets: {} as never,
      settings,
    },
    {
      close: () => Promise.resolve(),
      departures: {departedSince: () => undefined},
      directory: {
        markLeaving: () => undefined,
        vm: (id) => vms.find((each) => each.id === id),
        vms: () => vms,
      },
      mesh,
      store,
      unregister: () => undefined,
      workers,
    },
    {current: () => VIEW},
  );
  const {port} = (await work.requests.listen())._unsafeUnwrap();
  return {
    close: async () => {
      work.unregister();
      await Promise.all([mesh.stop(), workers.close()]);
    },
    metrics: () => node.metrics.metrics(),
    ownShare: () => work.membership.ownShare(brand('minion-1')),
    slotUse: () => work.requests.slotUse(brand('minion-1')),
    url: `http://127.0.0.1:${port}/entries/alerts/`,
  };
}

describe('registerWork', () => {
  it('borrows slots of a minion from a peer that has idle ones', async () => {
    const minion = new MinionServer({connections: 64, slots: SLOTS});
    minion.control({serviceMs: SERVICE_MS});
    const standin = await minion.start();
    const address = `127.0.0.1:${standin.port}`;
    const vms: Vm[] = [
      {
        address,
        connections: 64,
        dataCentre: 'dc-1',
        id: 'minion-1',
        role: 'minion',
        service: 'mesa',
        slots: SLOTS,
        state: 'live',
      },
    ];
    const store = new MemoryStore();
    const entries = [await startVm('vm-1', store, vms), await startVm('vm-2', store, vms)];
    const [first] = entries;
    assert.ok(first);
    try {
      await waitUntil(() => entries.every((entry) => entry.ownShare() === SLOTS / 2));
      const responses = await Promise.all(
        Array.from({length: 24}, () => fetch(first.url, {body: 'x', method: 'POST'})),
      );
      assert.ok(responses.every(({status}) => status === 200));
      assert.ok(minion.counters.mostConcurrent > SLOTS / 2);
      assert.ok(minion.counters.mostConcurrent <= SLOTS);
      const metrics = await first.metrics();
      assert.match(metrics, /^nutmegproxy_membership_tenure_held 1$/m);
      assert.match(metrics, /^nutmegproxy_membership_members 2$/m);
      assert.match(metrics, /^nutmegproxy_membership_slots_held 4$/m);
      assert.match(metrics, /^nutmegproxy_membership_slots_borrowed \d+$/m);
      assert.match(metrics, /^nutmegproxy_membership_slots_lent 0$/m);
      assert.match(metrics, /^nutmegproxy_peers_links 1$/m);
      assert.match(metrics, /^nutmegproxy_peers_traffic_bytes_total\{direction="in"\} [1-9]/m);
      assert.match(
        metrics,
        /^nutmegproxy_peers_messages_total\{direction="out",type="membership\/borrow"\} [1-9]/m,
      );
      await waitUntil(() => first.slotUse().borrowed === 0);
      assert.deepEqual(first.slotUse(), {borrowed: 0, inFlight: 0, lent: 0});
    } finally {
      await Promise.all(entries.map((entry) => entry.close()));
      await standin.close();
    }
  });
});
