/** Owners that follow one another on an emulated fleet, with a clock that stands still by itself. */

import type {EventFields, EventKind, EventSink, VmId} from '@nutmegproxy/core';
import type {FleetOwnership, Owner} from '@nutmegproxy/owner';
import type {PlatformStore} from '@nutmegproxy/store';

import {brand, ManualClock} from '@nutmegproxy/core';
import {OWNER_KEY, OwnerCandidate, RevisionLog} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';

import type {TaskBehaviour} from '../../EmulatedMinion.ts';
import type {MinionBounds} from '../../MinionBounds.ts';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMachineList} from '../../EmulatedMachineList.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createOwner,
  createStepShape,
  createStoredJob,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';
import {createFailingStore, createStillStore, waitForRoster} from './StoreSamples.ts';

const LEASE_RENEWAL_MS = 400;
/** Time in real milliseconds in which an owner stores what has changed. */
const SETTLED_MS = 500;

export type StartedOwner = Awaited<ReturnType<typeof startOwner>>;

/** An owner that can be killed: it stores nothing any more, and its ownership is free. */
export interface KillableOwner {
  /** Kills it; `keptMs` milliseconds pass until its ownership is free. */
  readonly kill: (keptMs?: number) => Promise<void>;
  readonly started: StartedOwner;
}

/** A VM that acquires the ownership once it is allowed to. */
export interface WaitingVm {
  /** Lets its store calls fail, or not any more. */
  readonly cutStore: (isCut: boolean) => void;
  isAllowed: boolean;
  /** Ends its process; its ownership is kept in the store until `kill` is called. */
  readonly isolate: () => void;
  /** Kills it while it owns the fleet; `keptMs` milliseconds pass until its ownership is free. */
  readonly kill: (keptMs: number) => Promise<void>;
  /** Makes a store call, whose response tells the VM the revision of the store. */
  readonly observe: () => Promise<void>;
  /** Undefined until it has acquired it. */
  ownership: FleetOwnership | undefined;
  /** Stops it as planned. */
  readonly stop: () => Promise<void>;
}

/** Behaviour of tasks that last. */
export function runForever(): TaskBehaviour {
  return {durationMs: Infinity, outcome: 'done'};
}

/** Waits in real time. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** The platforms on which tasks of minions that are gone are tested. */
export const PLATFORMS = [
  {hasList: false, name: 'without a list of machines'},
  {hasList: true, name: 'with a list of machines'},
];

export class TakeoverHarness {
  readonly clock: ManualClock;
  /** Kinds of the events of all owners. */
  readonly events: EventKind[] = [];
  /** Fields of the events of the owners that were started by `start` or `startKillable`, by kind. */
  readonly fields = new Map<EventKind, EventFields[]>();
  readonly fleet: EmulatedFleet;
  /** Lease times of the VMs that are started from now on. */
  leaseTimes = DEFAULT_LEASE_TIMES;
  readonly store = createStillStore();
  readonly #stops: (() => void)[] = [];

  constructor(clock = new ManualClock(Date.now())) {
    this.clock = clock;
    this.fleet = new EmulatedFleet(clock);
  }

  /** Adds a minion that started at `bornAt`, in Unix milliseconds; default: long ago. */
  addMinion(name: string, bornAt?: number, bounds: Partial<MinionBounds> = {}): EmulatedMinion {
    const description = createMinionDescription(name, {machine: brand(`machine of ${name}`)});
    const minion = new EmulatedMinion(
      bornAt === undefined ? description : {...description, bornAt},
      runForever,
      bounds,
    );
    this.fleet.add(minion);
    return minion;
  }

  /** Gives the owners that are started from now on a list of the machines. */
  addMachineList(): EmulatedMachineList {
    const list = new EmulatedMachineList(this.clock, this.fleet.minions);
    this.fleet.machineList = list;
    return list;
  }

  /** Cuts a minion off and waits until the store names what it runs. */
  async cutOff(minion: EmulatedMinion): Promise<void> {
    this.fleet.faults(minion.description.id).isUnreachable = true;
    await waitForRoster(this.store, (roster) => roster.includes('"silent"'));
  }

  async close(): Promise<void> {
    for (const stop of this.#stops.splice(0)) {
      stop();
    }
    await this.store.close();
  }

  /** Lets time pass in steps while the ownership is confirmed, with a real pause after each. */
  async passTime(
    ownership: FleetOwnership,
    totalMs: number,
    stepMs: number,
    pauseMs = 20,
  ): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < totalMs; elapsedMs += stepMs) {
      this.clock.advance(stepMs);
      ownership.confirm(this.clock.monotonic(), this.clock.wall());
      await sleep(pauseMs);
    }
  }

  /** Submits a job with one long-running task and waits until the minion that runs it has listed the run. */
  async runLastingTask(minion: EmulatedMinion): Promise<void> {
    await submitJob(this.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => minion.liveTasks.length === 1);
    const {answeredPolls} = minion;
    await waitFor('the run is listed', () => minion.answeredPolls > answeredPolls + 1);
    await sleep(SETTLED_MS);
  }

  /** Starts an owner whose ownership lease is renewed until the harness is closed. */
  async start(
    vm: string,
    store: PlatformStore = this.store,
    fleet: EmulatedFleet = this.fleet,
  ): Promise<StartedOwner> {
    const events: EventSink = {
      record: (kind, fields) => {
        this.events.push(kind);
        const known = this.fields.get(kind) ?? [];
        known.push(fields);
        this.fields.set(kind, known);
      },
    };
    const started = await startOwner(this.clock, store, fleet, vm, events, this.leaseTimes);
    const renewal = setInterval(() => {
      void this.store.keepLeaseAlive(started.ownership.lease);
    }, LEASE_RENEWAL_MS);
    this.#stops.push(() => {
      clearInterval(renewal);
      started.owner.stop('end of test');
    });
    return started;
  }

  /** Starts an owner that can be killed; its store calls fail whose arguments meet a condition. */
  async startKillable(
    vm: string,
    isFailing: (args: readonly unknown[]) => boolean = () => false,
  ): Promise<KillableOwner> {
    let isIsolated = false;
    const view = createFailingStore(this.store, (args) => isIsolated || isFailing(args));
    const started = await this.start(vm, view);
    const kill = async (keptMs = 0): Promise<void> => {
      isIsolated = true;
      started.owner.stop('killed');
      this.clock.advance(keptMs);
      await this.store.revokeLease(started.ownership.lease);
    };
    return {kill, started};
  }

  /**
   * Starts a VM that watches the ownership, and acquires it only once it is allowed to. `adapt` returns its
   * view of the store.
   */
  startWaitingVm(
    vm: string,
    fleet: EmulatedFleet = this.fleet,
    adapt: (store: PlatformStore) => PlatformStore = (store) => store,
    onEvent: (kind: EventKind, fields: EventFields) => void = () => undefined,
  ): WaitingVm {
    const {clock, leaseTimes} = this;
    let isIsolated = false;
    const store = adapt(createFailingStore(this.store, () => isIsolated));
    let owner: Owner | undefined;
    const events: EventSink = {
      record: (kind, fields) => {
        this.events.push(kind);
        onEvent(kind, fields);
      },
    };
    const revisions = new RevisionLog();
    const observe = async (): Promise<void> => {
      const read = await store.commit({compare: [], then: [{key: OWNER_KEY, kind: 'get'}]});
      revisions.record(read._unsafeUnwrap().revision, clock.monotonic());
    };
    const isolate = (): void => {
      isIsolated = true;
      waiting.isAllowed = false;
      owner?.stop('killed');
    };
    const kill = async (keptMs: number): Promise<void> => {
      isolate();
      clock.advance(keptMs);
      await (waiting.ownership && this.store.revokeLease(waiting.ownership.lease));
    };
    const stop = (): Promise<void> => candidate.stop();
    const waiting: WaitingVm = {
      cutStore: (isCut) => {
        isIsolated = isCut;
      },
      isAllowed: false,
      isolate,
      kill,
      observe,
      ownership: undefined,
      stop,
    };
    const candidate = new OwnerCandidate({
      canOwn: () => waiting.isAllowed,
      clock,
      createOwner: (ownership) => {
        waiting.ownership = ownership;
        owner = createOwner({clock, events, ownership, store}, fleet);
        return owner;
      },
      events,
      leaseTimes,
      otherCores: () => [],
      ownCores: 1,
      random: () => 0,
      revisions,
      store,
      vm: brand<VmId>(vm),
    });
    void candidate.run();
    this.#stops.push(() => {
      void candidate.stop();
    });
    return waiting;
  }

  async stopAsPlanned({election, owner, ownership}: StartedOwner): Promise<void> {
    owner.stop('planned stop');
    await election.resign(ownership, 'planned stop');
  }
}
