/** An in-memory data centre with entry VMs, one cell and two workers. */

import type {CatalogueView} from '@nutmegproxy/catalogue';
import type {CellId, EntryNode, IncarnationId, NodeIdentity, Unregister} from '@nutmegproxy/core';
import type {Allotment, Member, Membership} from '@nutmegproxy/membership';
import type {PeerHandler, PeerMesh} from '@nutmegproxy/peers';
import type {Placement, PlacementDecision, PlacementRequest} from '@nutmegproxy/placement';
import type {Entry, JobStatus, Team, Vm} from '@nutmegproxy/schema';

import {brand, CommandBus, DRAIN_STARTED, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {CELL_RELEASE_WANTED} from '@nutmegproxy/membership';
import {LANE_ORDERS, PLACEMENTS} from '@nutmegproxy/placement';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {Registry} from 'prom-client';

import type {RouteHandler, RouteResponse} from '../TaskRoutes.ts';

import {parseOwnerRecord} from '../CellRecovery.ts';
import {registerTasks} from '../RegisterTasks.ts';
import {FakeWorkers} from './FakeWorkers.ts';
import {MemoryStore} from './MemoryStore.ts';

export const CELL = brand<CellId>('rack-1');
export const DATA_CENTRE = 'dc1';
export const LEASE_MS = 1000;
const OWNER_KEY = `/n/dc/${DATA_CENTRE}/cell/${CELL}/owner`;
const POLL_INTERVAL_MS = 5;
const MAX_POLLS = 1000;

export const DIGEST: Entry = {
  checkpoint: true,
  class: 'batch',
  id: 'digest',
  kind: 'task',
  limits: {attempts: 2, cpu: 4, memoryMb: 100},
  owner: 'oportuna',
};
export const HUGE: Entry = {...DIGEST, id: 'huge', limits: {cpu: 100, memoryMb: 100}};
export const URGENT: Entry = {...DIGEST, class: 'latency-critical', id: 'urgent'};
export const IDLE_TEAM: Entry = {...DIGEST, id: 'idle-team', owner: 'idle'};

export const SINGLE: Entry = {...DIGEST, id: 'single', limits: {concurrency: 1, cpu: 1}};

/** One entry VM with the tasks feature. */
export interface TestVm {
  readonly call: (
    method: string,
    path: string,
    body?: unknown,
    key?: string,
  ) => Promise<RouteResponse>;
  readonly identity: NodeIdentity;
  readonly node: EntryNode;
  tenure: boolean;
  readonly unregister: Unregister;
}

/** Waits until `condition` holds and calls `step` between checks. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  description: string,
  step: () => void = () => undefined,
): Promise<void> {
  for (let index = 0; index < MAX_POLLS; index += 1) {
    if (await condition()) {
      return;
    }
    step();
    await delay(POLL_INTERVAL_MS);
  }
  assert.fail(`timed out waiting for: ${description}`);
}

export class TestCluster {
  readonly clock = new ManualClock();
  drained = new Set<string>();
  epoch = 0;
  owner: IncarnationId = brand<IncarnationId>('none');
  /** Called in place of the policy's decision, which it can override. */
  readonly placementHook: {
    decide: (request: PlacementRequest, decide: () => PlacementDecision) => PlacementDecision;
  } = {decide: (_request, decide) => decide()};
  readonly store = new MemoryStore();
  readonly vms: TestVm[] = [];
  readonly workers = new FakeWorkers(this.clock);
  readonly #handlers = new Map<string, Map<string, PeerHandler>>();

  addVm(name: string): TestVm {
    const identity: NodeIdentity = {
      dataCentre: brand(DATA_CENTRE),
      incarnation: brand(`${name}.${this.vms.length}`),
      region: brand('r1'),
      vm: brand(name),
    };
    const node: EntryNode = {
      bus: new CommandBus(),
      clock: this.clock,
      events: SILENT_EVENTS,
      identity,
      metrics: new Registry(),
    };
    const routes: RouteHandler[] = [];
    const state = {tenure: true};
    const {unregister} = registerTasks(node, {
      catalogue: {current: () => this.#view()},
      commitIntervalMs: 1,
      createPlacement: () => this.#createPlacement(),
      directory: {
        markLeaving: () => undefined,
        vm: (id) => this.#vms().find((vm) => vm.id === id),
        vms: () => this.#vms(),
      },
      keyPrefix: '/n',
      laneOrder: LANE_ORDERS.fair,
      membership: this.#membership(state),
      mesh: this.#mesh(identity),
      parseOwner: parseOwnerRecord,
      registerRoute: (_prefix, handler) => {
        routes.push(handler);
        return () => undefined;
      },
      store: this.store,
      timings: {leaseMs: LEASE_MS, syncMs: 5},
      workers: this.workers,
    });
    const call: TestVm['call'] = (method, path, body, key) => {
      const headers = key === undefined ? {} : {'idempotency-key': key};
      const [route] = routes;
      assert.ok(route);
      return route({body: Buffer.from(JSON.stringify(body ?? {})), headers, method, path});
    };
    const vm: TestVm = {
      call,
      identity,
      node,
      get tenure() {
        return state.tenure;
      },
      set tenure(value) {
        state.tenure = value;
      },
      unregister,
    };
    this.vms.push(vm);
    return vm;
  }

  close(): void {
    this.vms.forEach(({unregister}) => {
      unregister();
    });
  }

  /** Requests that `vm` release the cell for handover, as membership does. */
  async release(vm: TestVm): Promise<void> {
    await new Promise<void>((released) => {
      vm.node.bus.dispatch(CELL_RELEASE_WANTED, {cell: CELL, epoch: this.epoch, released});
    });
  }

  async drain(vm: TestVm): Promise<void> {
    const pending: Promise<void>[] = [];
    vm.node.bus.dispatch(DRAIN_STARTED, {wait: (work) => pending.push(work)});
    await Promise.all(pending);
  }

  /** Makes `vm` the owner of the cell, in the store and in the allotment. */
  setOwner(vm: TestVm): void {
    this.epoch += 1;
    this.owner = vm.identity.incarnation;
    this.store.put(OWNER_KEY, {epoch: this.epoch, owner: this.owner});
  }

  createMesh({identity}: TestVm): PeerMesh {
    return this.#mesh(identity);
  }

  async status(vm: TestVm, job: string): Promise<JobStatus> {
    const response = await vm.call('GET', `/tasks/${job}`);
    assert.equal(response.status, 200, response.body);
    return JSON.parse(response.body) as JobStatus;
  }

  /** Submits a job through `vm` and retries until the cell accepts it. */
  async submit(vm: TestVm, count = 1, key?: string, entry = DIGEST.id): Promise<string> {
    let job = '';
    await waitUntil(async () => {
      const response = await vm.call('POST', '/tasks', {count, entry}, key);
      job = response.status < 300 ? (JSON.parse(response.body) as {job: string}).job : '';
      return job !== '';
    }, 'the submission is accepted');
    return job;
  }

  /** Waits until the job's task counts equal `counts`. */
  async waitForCounts(
    vm: TestVm,
    job: string,
    counts: Record<string, number>,
    step?: () => void,
  ): Promise<void> {
    const expected = JSON.stringify(Object.entries(counts).sort());
    await waitUntil(
      async () => {
        const response = await vm.call('GET', `/tasks/${job}`);
        const found = response.status === 200 && (JSON.parse(response.body) as JobStatus);
        return found !== false && JSON.stringify(Object.entries(found.counts).sort()) === expected;
      },
      `${job} ${expected}`,
      step,
    );
  }

  #createPlacement(): Placement {
    const placement = PLACEMENTS['first-fit']();
    const decide = placement.decide.bind(placement);
    placement.decide = (request, now) =>
      this.placementHook.decide(request, () => decide(request, now));
    return placement;
  }

  #membership(state: {tenure: boolean}): Membership {
    return {
      allotment: () => this.#allotment(),
      holdsTenure: () => state.tenure,
      ownShare: () => 0,
      tenureExpiresAt: () => this.clock.monotonic(),
    };
  }

  #allotment(): Allotment {
    const members = this.vms.map(({identity}): Member => ({
      incarnation: identity.incarnation,
      peerAddress: '',
      vm: identity.vm,
    }));
    return {
      cells: new Map([[CELL, {cell: CELL, epoch: this.epoch, owner: this.owner}]]),
      dataCentre: brand(DATA_CENTRE),
      epoch: this.epoch,
      members: new Map(members.map((member) => [member.incarnation, member])),
      minions: new Map(),
      modRevision: 1,
    };
  }

  #mesh(from: NodeIdentity): PeerMesh {
    const handlers = this.#handlers.get(from.vm) ?? new Map<string, PeerHandler>();
    this.#handlers.set(from.vm, handlers);
    return {
      broadcast: ({body, type}) => {
        for (const [vm, each] of this.#handlers) {
          if (vm !== from.vm) {
            each.get(type)?.(body, from, this.clock.monotonic());
          }
        }
      },
      peers: () =>
        this.vms
          .filter(({identity}) => identity.vm !== from.vm)
          .map(({identity}) => ({identity, lastReceivedAt: this.clock.monotonic()})),
      registerHandler: (type, handler) => {
        handlers.set(type, handler);
        return () => handlers.delete(type);
      },
      request: (to, _incarnation, {body, type}) => {
        const handler = this.#handlers.get(to)?.get(type);
        if (!handler) {
          return errAsync({kind: 'unreachable', message: 'no link'});
        }
        const answer = handler(body, from, this.clock.monotonic());
        return new ResultAsync(Promise.resolve(answer).then((value) => okAsync(value)));
      },
      send: () => true,
    };
  }

  #view(): CatalogueView {
    const entries = [DIGEST, HUGE, IDLE_TEAM, SINGLE, URGENT].map(
      (entry) => [brand(entry.id), entry] as const,
    );
    const teams: Team[] = [{id: 'oportuna'}, {id: 'idle', quota: {cpu: 0}}];
    return {
      entries: new Map(entries as never),
      isDrained: (_target, id) => this.drained.has(id),
      revision: 1,
      stoppedVms: new Set(),
      teams: new Map(teams.map((team) => [brand(team.id), team])),
    };
  }

  #vms(): Vm[] {
    return ['w1', 'w2'].map((id) => ({
      address: id,
      capacity: {accelerators: 0, cpu: 16, memoryMb: 60_000},
      dataCentre: DATA_CENTRE,
      id,
      rack: CELL,
      role: 'worker',
      state: 'live',
    }));
  }
}
