/** Emulated minions that crash, and owners of them that can be killed. */

import type {EventFields, EventKind} from '@nutmegproxy/core';
import type {JobProgress, StoredJob} from '@nutmegproxy/jobs';
import type {MachineId} from '@nutmegproxy/scheduling';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {decodeProgress, formatJobKey} from '@nutmegproxy/jobs';
import {RevisionLog} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {getKey} from '@nutmegproxy/store';

import type {RecordedRun, TaskBehaviour} from '../../EmulatedMinion.ts';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {createMinionDescription, startOwner, waitFor} from './JobSamples.ts';
import {createFailingStore, createStillStore} from './StoreSamples.ts';

/** A task is started at most this often: three crashes, and fewer than three starts more. */
export const MAX_STARTS = 5;
export const LASTING: TaskBehaviour = {durationMs: Infinity, outcome: 'done'};

/** A running owner. */
export interface CrashOwner {
  readonly kill: () => Promise<void>;
  /** Stops it with a record of what it knows for the next owner. */
  readonly stopAsPlanned: () => Promise<void>;
}

export class CrashHarness {
  /** Behaviours of tasks by job; others end after 20 ms. */
  readonly behaviours = new Map<string, TaskBehaviour>();
  readonly events: {readonly fields: EventFields; readonly kind: EventKind}[] = [];
  readonly fleet = new EmulatedFleet(SYSTEM_CLOCK);
  isStoreDown = false;
  readonly store = createStillStore();
  readonly #revisions = new RevisionLog();
  readonly #stops: (() => void)[] = [];

  constructor() {
    this.store.watch('', 1, {
      onBroken: () => undefined,
      onEvents: (_changes, revision) => {
        this.#revisions.record(revision, SYSTEM_CLOCK.monotonic());
      },
    });
  }

  addMinion(name: string, address = `${name}:1`): EmulatedMinion {
    const minion = new EmulatedMinion(
      createMinionDescription(name, {address, machine: brand<MachineId>(`machine of ${name}`)}),
      ({job}) => this.behaviours.get(job) ?? {durationMs: 20, outcome: 'done'},
    );
    this.fleet.add(minion);
    return minion;
  }

  addMinions(count: number): EmulatedMinion[] {
    return Array.from({length: count}, (_, number) => this.addMinion(`m${number}`));
  }

  async close(): Promise<void> {
    this.isStoreDown = false;
    for (const stop of this.#stops.splice(0)) {
      stop();
    }
    await this.store.close();
  }

  countEvents(kind: EventKind): number {
    return this.events.filter((each) => each.kind === kind).length;
  }

  /** Counts the crashes after which a task was found guilty. */
  countGuiltyVerdicts(): number {
    return this.events.filter(({fields}) => fields.verdict === 'guilty').length;
  }

  /** Returns how often the most started task of a job was started. */
  countStarts(job: StoredJob): number {
    const counts = new Map<string, number>();
    for (const {task} of this.listRuns(job)) {
      counts.set(task, (counts.get(task) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
  }

  listRuns({id}: StoredJob): RecordedRun[] {
    return [...this.fleet.minions.values()].flatMap(({records}) =>
      records.filter(({task}) => task.startsWith(id)),
    );
  }

  async readProgress({id}: StoredJob): Promise<JobProgress | undefined> {
    const stored = await getKey(this.store, formatJobKey(id, 'progress'));
    const value = stored.isOk() ? stored.value?.value : undefined;
    return value === undefined ? undefined : decodeProgress(value).unwrapOr(undefined);
  }

  /** Starts an owner whose ownership counts as confirmed; returns a function that kills it. */
  async start(vm: string): Promise<() => Promise<void>> {
    const {kill} = await this.startStoppable(vm);
    return kill;
  }

  /** Starts an owner whose ownership counts as confirmed, on a VM that watched the store since the start by default. */
  async startStoppable(vm: string, revisions = this.#revisions): Promise<CrashOwner> {
    let isIsolated = false;
    const view = createFailingStore(this.store, () => isIsolated || this.isStoreDown);
    const {election, owner, ownership} = await startOwner(
      SYSTEM_CLOCK,
      view,
      this.fleet,
      vm,
      {record: (kind, fields) => this.events.push({fields, kind})},
      DEFAULT_LEASE_TIMES,
      revisions,
    );
    const renewal = setInterval(() => {
      ownership.confirm(SYSTEM_CLOCK.monotonic(), SYSTEM_CLOCK.wall());
      void this.store.keepLeaseAlive(ownership.lease);
    }, 200);
    const stop = (reason: string): void => {
      clearInterval(renewal);
      owner.stop(reason);
    };
    this.#stops.push(() => {
      stop('closed');
    });
    return {
      kill: async () => {
        isIsolated = true;
        stop('killed');
        await this.store.revokeLease(ownership.lease);
      },
      stopAsPlanned: async () => {
        stop('planned stop');
        await election.resign(ownership, 'planned stop');
      },
    };
  }

  async waitForStatus(job: StoredJob, expected: string): Promise<void> {
    let isMet = false;
    const timer = setInterval(() => {
      void this.readProgress(job).then((progress) => {
        isMet ||= progress?.status === expected;
      });
    }, 10);
    try {
      await waitFor(`a job is ${expected}`, () => isMet);
    } finally {
      clearInterval(timer);
    }
  }
}
