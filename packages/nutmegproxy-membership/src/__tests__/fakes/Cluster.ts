/** Members of one data centre over one store and one network, all moved by the test. */

import type {CellId, Clock, EntryNode, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {AllotmentRecord, Vm} from '@nutmegproxy/schema';

import {brand, CommandBus, ManualClock, PRIORITY_NORMAL, SILENT_EVENTS} from '@nutmegproxy/core';
import {LocalNetwork} from '@nutmegproxy/standins';
import {DepartureTracker} from '@nutmegproxy/workers';
import assert from 'node:assert/strict';
import {Registry} from 'prom-client';

import type {MembershipPeriods} from '../../index.ts';

import {MembershipNode, SHARE_RELEASE_WANTED} from '../../index.ts';
import {GatedStore, StoreEngine} from './GatedStore.ts';
import {LaggingList} from './LaggingList.ts';

export const PERIODS: MembershipPeriods = {
  loanTermMs: 2_000,
  outageLimitMs: 120_000,
  requestLimitMs: 14_000,
  tenureTtlMs: 10_000,
  vouchPeriodMs: 6_000,
};

const ALLOTMENT_KEY = '/test/dc/dc/allotment';
const MAX_CALL_STAGES = 400;

/** A clock that runs at another rate than the world's. */
class DriftingClock implements Clock {
  readonly #rate: number;
  readonly #world: ManualClock;

  constructor(world: ManualClock, rate: number) {
    this.#rate = rate;
    this.#world = world;
  }

  monotonic(): Instant {
    return (this.#world.monotonic() * this.#rate) as Instant;
  }

  wall(): WallTime {
    return this.#world.wall();
  }
}

/** A request that occupies a slot, on the world's clock. */
interface Occupancy {
  readonly ends: number;
  readonly minion: MinionId;
}

/** One process, with the requests that it has running. */
export class Process {
  alive = true;
  readonly clock: Clock;
  readonly departures = new DepartureTracker();
  readonly membership: MembershipNode;
  readonly node: EntryNode;
  occupied: Occupancy[] = [];
  readonly store: GatedStore;
  #busy = new Set<string>();
  #listRevision = 0;
  readonly #cluster: Cluster;
  #releases: {readonly keep: number; readonly minion: MinionId; readonly released: () => void}[] =
    [];

  constructor(
    cluster: Cluster,
    vm: string,
    generation: number,
    rate: number,
    periods: MembershipPeriods,
  ) {
    this.#cluster = cluster;
    this.clock = new DriftingClock(cluster.clock, rate);
    this.store = new GatedStore(cluster.engine);
    this.node = {
      bus: new CommandBus(),
      clock: this.clock,
      events: SILENT_EVENTS,
      identity: {
        dataCentre: brand('dc'),
        incarnation: brand(`${vm}.${generation}`),
        region: brand('region'),
        vm: brand(vm),
      },
      metrics: new Registry(),
    };
    this.node.bus.register(
      SHARE_RELEASE_WANTED,
      (release) => this.#releases.push(release) > 0,
      PRIORITY_NORMAL,
    );
    let changes = 0;
    this.membership = new MembershipNode(
      {
        departures: this.departures,
        directory: {vms: () => cluster.vms},
        mesh: cluster.network.attach(this.node.identity, this.clock),
        node: this.node,
        peerAddress: `${vm}:1`,
        periods,
        store: this.store,
      },
      {
        createChangeId: () => `${vm}.${generation}.${(changes += 1)}`,
        prefix: '/test',
      },
    );
  }

  /** Reads the list of VMs; `hidden` is a VM that the list wrongly leaves out. */
  readList(hidden?: string): void {
    const report = this.#cluster.list.read(this.#listRevision);
    this.#listRevision = report.revision;
    const vms = report.vms.filter(({id}) => id !== hidden);
    this.departures.apply({...report, vms}, this.clock.monotonic());
  }

  holds(): boolean {
    return this.membership.holdsTenure(this.clock.monotonic());
  }

  /** Starts a request if this process may. */
  dispatch(minion: MinionId): void {
    const used = this.countOccupied(minion);
    if (this.alive && this.holds() && used < this.membership.ownShare(minion)) {
      const ends = this.#cluster.clock.monotonic() + PERIODS.requestLimitMs * 0.99;
      this.occupied.push({ends, minion});
    }
  }

  countOccupied(minion: MinionId): number {
    const now = this.#cluster.clock.monotonic();
    this.occupied = this.occupied.filter(({ends}) => ends > now);
    return this.occupied.filter((each) => each.minion === minion).length;
  }

  /** Ends the oldest request. */
  finish(): void {
    this.occupied.shift();
    this.settleReleases();
  }

  kill(): void {
    this.alive = false;
    this.#cluster.network.detach(this.node.identity);
  }

  ownsCell(cell: CellId): boolean {
    const owner = this.membership.allotment()?.cells.get(cell)?.owner;
    return this.holds() && owner === this.node.identity.incarnation;
  }

  /** Tells membership of the shares whose surplus is no longer in use. */
  settleReleases(): void {
    this.#releases = this.#releases.filter(({keep, minion, released}) => {
      const free = this.countOccupied(minion) <= keep;
      if (free) {
        released();
      }
      return !free;
    });
  }

  /** Begins a step unless the one before still waits for the store. */
  start(kind: 'record' | 'tenure'): void {
    if (!this.alive || this.#busy.has(kind)) {
      return;
    }
    this.#busy.add(kind);
    const step =
      kind === 'record'
        ? this.membership.stepRecord()
        : this.membership.stepTenure(this.clock.monotonic());
    void step.finally(() => this.#busy.delete(kind));
  }
}

export class Cluster {
  readonly cells: readonly CellId[];
  readonly clock = new ManualClock();
  /** VMs that the platform has ended. */
  readonly ended = new Set<string>();
  readonly engine = new StoreEngine(this.clock);
  readonly list = new LaggingList();
  readonly minions: readonly MinionId[];
  readonly network = new LocalNetwork();
  readonly processes: Process[] = [];
  readonly vms: Vm[] = [];
  #generation = 0;
  readonly #removed = new Set<string>();
  #seenMembers = new Set<string>();

  constructor(minionCount: number, cellCount: number) {
    this.minions = Array.from({length: minionCount}, (_, n) => brand<MinionId>(`minion-${n}`));
    this.cells = Array.from({length: cellCount}, (_, n) => brand<CellId>(`rack-${n}`));
    for (const id of this.minions) {
      const address = '127.0.0.1:1';
      this.vms.push({address, dataCentre: 'dc', id, role: 'minion', slots: 8, state: 'live'});
    }
    for (const rack of this.cells) {
      const id = `worker-${rack}`;
      this.vms.push({address: '1', dataCentre: 'dc', id, rack, role: 'worker', state: 'live'});
    }
  }

  add(vm: string, rate = 1, periods = PERIODS): Process {
    this.#generation += 1;
    const process = new Process(this, vm, this.#generation, rate, periods);
    this.processes.push(process);
    this.list.add(vm);
    return process;
  }

  /** The platform ends a VM for good: its process dies, and then the list drops it. */
  end(vm: string): void {
    for (const process of this.processes.filter(({node}) => node.identity.vm === vm)) {
      process.kill();
    }
    this.ended.add(vm);
    this.list.remove(vm);
  }

  /** Checks all that must hold at every moment. */
  check(): void {
    for (const cell of this.cells) {
      const owners = this.processes.filter((each) => each.alive && each.ownsCell(cell));
      const names = owners.map(({node}) => node.identity.incarnation).join(' and ');
      assert.ok(owners.length <= 1, `${cell} is owned by ${names}`);
    }
    for (const minion of this.minions) {
      const used = this.processes.reduce((sum, each) => sum + each.countOccupied(minion), 0);
      assert.ok(used <= 8, `${minion} has ${used} requests`);
    }
    this.#checkRemovals();
  }

  record(): AllotmentRecord | undefined {
    const stored = this.engine.read(ALLOTMENT_KEY);
    return stored === undefined
      ? undefined
      : (JSON.parse(stored.value.toString('utf8')) as AllotmentRecord);
  }

  /** Lets all calls and what follows from them come to an end. */
  async settle(): Promise<void> {
    for (let stage = 0; stage < MAX_CALL_STAGES; stage += 1) {
      await this.breathe();
      if (this.engine.calls.length === 0) {
        return;
      }
      this.openCall(0);
    }
    assert.fail('the calls do not come to an end');
  }

  /** Lets promises that are due go on. */
  async breathe(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  expireCall(index: number): void {
    const call = this.engine.calls[index];
    if (call?.expire() === true) {
      this.engine.calls.splice(index, 1);
    }
  }

  openCall(index: number): void {
    const call = this.engine.calls[index];
    if (call?.open() === true) {
      this.engine.calls.splice(index, 1);
    }
  }

  /** Seconds pass, in each of which every live process does its steps. */
  async run(seconds: number, active = this.processes): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      this.clock.advance(1_000);
      for (const process of active) {
        process.settleReleases();
        if (process.alive) {
          process.readList();
        }
        process.start('tenure');
        process.start('record');
      }
      await this.settle();
      this.check();
    }
  }

  #checkRemovals(): void {
    const record = this.record();
    if (record === undefined) {
      return;
    }
    const members = new Set(record.members.map(({incarnation}) => incarnation));
    for (const each of this.#seenMembers) {
      if (!members.has(each)) {
        this.#removed.add(each);
      }
    }
    this.#seenMembers = members;
    for (const each of members) {
      assert.ok(!this.#removed.has(each), `${each} was removed and is back`);
    }
  }
}
