/** Members of one data centre with a store and a network, advanced step by step by the test. */

import type {CellId, Clock, EntryNode, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {AllotmentRecord, Vm} from '@nutmegproxy/schema';

import {brand, CommandBus, ManualClock, PRIORITY_NORMAL, SILENT_EVENTS} from '@nutmegproxy/core';
import {LocalNetwork} from '@nutmegproxy/standins';
import {DepartureBook} from '@nutmegproxy/workers';
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

/** A clock that runs at a different rate than the reference clock. */
class DriftingClock implements Clock {
  readonly #rate: number;
  readonly #reference: ManualClock;

  constructor(reference: ManualClock, rate: number) {
    this.#rate = rate;
    this.#reference = reference;
  }

  monotonic(): Instant {
    return (this.#reference.monotonic() * this.#rate) as Instant;
  }

  wall(): WallTime {
    return this.#reference.wall();
  }
}

/** A request that occupies a slot, timed by the cluster's clock. */
interface SlotOccupancy {
  readonly endsAt: number;
  readonly minion: MinionId;
}

/** One process with its running requests. */
export class Process {
  isAlive = true;
  readonly clock: Clock;
  readonly departures = new DepartureBook();
  readonly membership: MembershipNode;
  readonly node: EntryNode;
  occupancies: SlotOccupancy[] = [];
  readonly store: GatedStore;
  #runningSteps = new Set<string>();
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

  /** Reads the list of VMs; `hidden` is a VM that the list wrongly omits. */
  readList(hidden?: string): void {
    const report = this.#cluster.list.read(this.#listRevision);
    this.#listRevision = report.revision;
    const vms = report.vms.filter(({id}) => id !== hidden);
    this.departures.take({...report, vms}, this.clock.monotonic());
  }

  holdsTenure(): boolean {
    return this.membership.holdsTenure(this.clock.monotonic());
  }

  /** Starts a request if tenure and the share allow it. */
  dispatch(minion: MinionId): void {
    const used = this.countOccupied(minion);
    if (this.isAlive && this.holdsTenure() && used < this.membership.ownShare(minion)) {
      const endsAt = this.#cluster.clock.monotonic() + PERIODS.requestLimitMs * 0.99;
      this.occupancies.push({endsAt, minion});
    }
  }

  countOccupied(minion: MinionId): number {
    const now = this.#cluster.clock.monotonic();
    this.occupancies = this.occupancies.filter(({endsAt}) => endsAt > now);
    return this.occupancies.filter((each) => each.minion === minion).length;
  }

  /** Ends the oldest request. */
  finish(): void {
    this.occupancies.shift();
    this.confirmReleases();
  }

  kill(): void {
    this.isAlive = false;
    this.#cluster.network.detach(this.node.identity);
  }

  ownsCell(cell: CellId): boolean {
    const owner = this.membership.allotment()?.cells.get(cell)?.owner;
    return this.holdsTenure() && owner === this.node.identity.incarnation;
  }

  /** Confirms the release of shares whose surplus is no longer in use. */
  confirmReleases(): void {
    this.#releases = this.#releases.filter(({keep, minion, released}) => {
      const isFree = this.countOccupied(minion) <= keep;
      if (isFree) {
        released();
      }
      return !isFree;
    });
  }

  /** Starts a step unless the previous one still waits for the store. */
  startStep(kind: 'record' | 'tenure'): void {
    if (!this.isAlive || this.#runningSteps.has(kind)) {
      return;
    }
    this.#runningSteps.add(kind);
    const step =
      kind === 'record'
        ? this.membership.reconcileRecord()
        : this.membership.renewTenure(this.clock.monotonic());
    void step.finally(() => this.#runningSteps.delete(kind));
  }
}

export class Cluster {
  readonly cells: readonly CellId[];
  readonly clock = new ManualClock();
  /** VMs that the platform has terminated. */
  readonly terminatedVms = new Set<string>();
  readonly engine = new StoreEngine(this.clock);
  readonly list = new LaggingList();
  readonly minions: readonly MinionId[];
  readonly network = new LocalNetwork();
  readonly processes: Process[] = [];
  readonly vms: Vm[] = [];
  #generation = 0;
  readonly #removedMembers = new Set<string>();
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

  /** Terminates a VM for good: its process dies, and then the list omits it. */
  endVm(vm: string): void {
    for (const process of this.processes.filter(({node}) => node.identity.vm === vm)) {
      process.kill();
    }
    this.terminatedVms.add(vm);
    this.list.remove(vm);
  }

  /** Checks the invariants that must always hold. */
  checkInvariants(): void {
    for (const cell of this.cells) {
      const owners = this.processes.filter((each) => each.isAlive && each.ownsCell(cell));
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

  /** Completes all store calls, including those that follow from them. */
  async settleCalls(): Promise<void> {
    for (let stage = 0; stage < MAX_CALL_STAGES; stage += 1) {
      await this.flushPromises();
      if (this.engine.calls.length === 0) {
        return;
      }
      this.advanceCall(0);
    }
    assert.fail('the store calls do not complete');
  }

  /** Waits until the callbacks of settled promises have run. */
  async flushPromises(): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve));
  }

  expireCall(index: number): void {
    const call = this.engine.calls[index];
    if (call?.expire() === true) {
      this.engine.calls.splice(index, 1);
    }
  }

  advanceCall(index: number): void {
    const call = this.engine.calls[index];
    if (call?.advance() === true) {
      this.engine.calls.splice(index, 1);
    }
  }

  /** Advances the clock by seconds; in each, every live process runs its steps. */
  async run(seconds: number, activeProcesses = this.processes): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      this.clock.advance(1_000);
      for (const process of activeProcesses) {
        process.confirmReleases();
        if (process.isAlive) {
          process.readList();
        }
        process.startStep('tenure');
        process.startStep('record');
      }
      await this.settleCalls();
      this.checkInvariants();
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
        this.#removedMembers.add(each);
      }
    }
    this.#seenMembers = members;
    for (const each of members) {
      assert.ok(!this.#removedMembers.has(each), `${each} is a member again after its removal`);
    }
  }
}
