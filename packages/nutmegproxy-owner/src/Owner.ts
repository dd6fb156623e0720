/**
 * Owns the fleet from the acquisition of the ownership to its loss: recovers the running tasks,
 * then plans starts whenever something changes.
 */

import type {Clock, EventSink, Instant, PlatformBounds} from '@nutmegproxy/core';
import type {MinionState} from '@nutmegproxy/scheduling';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay, WorkQueue} from '@nutmegproxy/core';
import {
  countDeferrable,
  DurationEstimator,
  evacuateMinion,
  Fleet,
  hasUrgentWork,
  planStarts,
  PlanSweep,
  type QueuePolicy,
  replaceQueues,
  RunProgressMonitor,
  SharingPolicy,
} from '@nutmegproxy/scheduling';

import type {AdviceClient} from './AdviceClient.ts';
import type {FleetOwnership} from './FleetOwnership.ts';
import type {MachineList} from './MachineList.ts';
import type {MinionDirectory} from './MinionDirectory.ts';
import type {MinionOrders} from './MinionOrders.ts';
import type {RoundHold} from './RoundLog.ts';

import {AdvicePrefetcher} from './AdvicePrefetcher.ts';
import {CancellationMarks} from './CancellationMarks.ts';
import {ClosingRecords} from './ClosingRecords.ts';
import {JobWatcher} from './JobWatcher.ts';
import {Journal} from './Journal.ts';
import {LearnedEstimates} from './LearnedEstimates.ts';
import {MinionSessions} from './MinionSessions.ts';
import {
  MAX_PLACEMENT_MS,
  MAX_TURN_MS,
  RETENTION_MARGIN_MS,
  RUN_NUMBERS_PER_TERM,
  STORE_RETRY_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {OwnerLoad} from './OwnerLoad.ts';
import {choosePlanIdle, choosePlanPause, createTimeLimit} from './OwnerUtils.ts';
import {PollLimiter} from './PollLimiter.ts';
import {QueueLengthPublisher} from './QueueLengthPublisher.ts';
import {Retention} from './Retention.ts';
import {Roster} from './Roster.ts';
import {RoundLog} from './RoundLog.ts';
import {isSettled} from './SettledFleet.ts';
import {StartLimiter} from './StartLimiter.ts';
import {StartThrottle} from './StartThrottle.ts';
import {TrackedOrders} from './TrackedOrders.ts';
import {TurnLog} from './TurnLog.ts';

export interface OwnerOptions {
  /** Client of the advising service; undefined where the platform has none. */
  readonly advice: AdviceClient | undefined;
  /** Limits that the platform sets. */
  readonly bounds: PlatformBounds;
  readonly clock: Clock;
  readonly directory: MinionDirectory;
  readonly events: EventSink;
  /** The platform's list of machines; undefined where it has none. */
  readonly machines: MachineList | undefined;
  readonly orders: MinionOrders;
  readonly ownership: FleetOwnership;
  /** Whether the outlook of the cell is published for the choice of the cells of new jobs; default: it is not. */
  readonly publishesOutlook?: boolean;
  /** Returns the configured queues; a new array after each change of the configuration. */
  readonly queues: () => readonly QueuePolicy[];
  /** Time in milliseconds for which callers can query the state of an ended job. */
  readonly statusRetentionMs: number;
  readonly store: PlatformStore;
}

export class Owner {
  readonly #advice: AdvicePrefetcher;
  readonly #estimator: DurationEstimator;
  readonly #fleet: Fleet;
  readonly #closingRecords: ClosingRecords;
  readonly #jobs: JobWatcher;
  readonly #journal: Journal;
  #hasChanged = false;
  #isWindingDown = false;
  readonly #learnedEstimates: LearnedEstimates;
  readonly #load = new OwnerLoad();
  readonly #marks = new CancellationMarks();
  readonly #minions: MinionSessions;
  readonly #options: OwnerOptions;
  readonly #pollLimiters = {answering: new PollLimiter(), silent: new PollLimiter()};
  readonly #progressMonitor: RunProgressMonitor;
  #queues: readonly QueuePolicy[] | undefined;
  readonly #retention: Retention;
  readonly #roster: Roster;
  readonly #roundLog: RoundLog;
  readonly #sharing: SharingPolicy;
  readonly #sweep = new PlanSweep();
  readonly #startLimiter = new StartLimiter();
  readonly #startThrottle = new StartThrottle();
  #stopReason: string | undefined;
  readonly #queueLengths: QueueLengthPublisher;
  #wake: (() => void) | undefined;
  readonly #work: WorkQueue;

  constructor(options: OwnerOptions) {
    const {advice, bounds, clock, directory, events, ownership, store} = options;
    this.#options = options;
    this.#estimator = new DurationEstimator(bounds);
    this.#progressMonitor = new RunProgressMonitor(this.#estimator, bounds);
    this.#sharing = new SharingPolicy(this.#estimator, bounds);
    const orders = new TrackedOrders(options.orders, clock);
    const onChange = (): void => {
      this.#wakeUp();
    };
    const onFenced = (): void => {
      this.#end('fenced');
    };
    this.#work = this.#createWorkQueue();
    const work = this.#work;
    this.#fleet = createFleet(options);
    const fleet = this.#fleet;
    this.#journal = new Journal({dirtyJobs: fleet.dirtyJobs, events, onFenced, ownership, store});
    this.#roster = new Roster({clock, events, onFenced, ownership, store});
    this.#closingRecords = new ClosingRecords({clock, events, ownership, store});
    this.#learnedEstimates = this.#createLearnedEstimates();
    this.#retention = this.#createRetention();
    this.#queueLengths = new QueueLengthPublisher({...options, fleet});
    this.#advice = new AdvicePrefetcher({advice, bounds, clock, events, fleet, onChange});
    this.#jobs = this.#createJobWatcher(onChange, onFenced);
    this.#minions = new MinionSessions({
      bounds,
      clock,
      directory,
      events,
      fleet,
      machines: options.machines,
      onChange,
      roster: this.#roster,
      session: {
        clock,
        events,
        findTicket: ({minion, step}) => this.#advice.findTicket(step, minion),
        fleet,
        isNearTarget: (minion) => this.#sharing.isNearTarget(minion),
        journal: this.#journal,
        load: this.#load,
        onAnswering: (minion) => {
          this.#minions.recovery.clearRecord(minion);
        },
        onChange,
        onFenced,
        onListed: (minion, now) => {
          this.#reviewRuns(minion, now);
        },
        onRunDone: (run, durationMs) => {
          this.#estimator.recordRun(this.#fleet, run, durationMs);
        },
        onSilent: (minion) => {
          this.#minions.recordSilent(minion);
        },
        onTicketRejected: ({minion, step}) => {
          this.#advice.invalidate(step, minion);
        },
        orders,
        overdueInMs: (minion, now) => this.#progressMonitor.overdueInMs(fleet, minion, now),
        ownership,
        pollLimiters: this.#pollLimiters,
        startLimiter: this.#startLimiter,
        work,
      },
      store,
    });
    this.#roundLog = this.#createRoundLog(orders);
  }

  /** Whether the next owner would begin little anew. */
  get isSettled(): boolean {
    return isSettled(this.#fleet);
  }

  /** Owns the fleet until the ownership ends; returns the reason. */
  async run(): Promise<string> {
    const {clock, events, ownership} = this.#options;
    events.record(OWNER_EVENTS.RECOVERY_STARTED, {fence: ownership.token, term: ownership.term});
    void this.#journal.run();
    await this.#recover();
    void this.#receiveClosingRecord();
    void this.#minions.reviewMachines(() => this.#isActing());
    void this.#advice.run(() => this.#isActing());
    void this.#queueLengths.run(() => this.#isActing());
    void this.#retention.run(() => this.#isActing());
    void this.#learnedEstimates.run(() => this.#isActing());
    while (this.#isActing()) {
      const roundMs = await this.#work.run('planning', () => {
        const startedAt = clock.monotonic();
        this.#plan();
        return clock.monotonic() - startedAt;
      });
      this.#load.recordRound(roundMs);
      await this.#sleep(choosePlanPause(roundMs, {hasOtherWork: this.#work.size > 0}));
    }
    this.#jobs.close();
    this.#minions.close();
    this.#journal.stop();
    this.#roster.close();
    void this.#closingRecords.send(this.#minions.listAccounts(), this.#roster.silentEntries);
    return this.#stopReason ?? 'lease not renewed';
  }

  /** Starts nothing any more; another VM is about to own the fleet. */
  windDown(): void {
    this.#isWindingDown = true;
  }

  /** Stops the owner; it sends no further orders. */
  stop(reason: string): void {
    const {clock, ownership} = this.#options;
    ownership.giveUp(clock.monotonic(), clock.wall());
    this.#end(reason);
  }

  #createJobWatcher(onChange: () => void, onFenced: () => void): JobWatcher {
    return new JobWatcher({
      ...this.#options,
      fleet: this.#fleet,
      marks: this.#marks,
      onChange,
      onFenced,
      work: this.#work,
    });
  }

  #createLearnedEstimates(): LearnedEstimates {
    const {clock, events, ownership, store} = this.#options;
    return new LearnedEstimates({
      clock,
      estimator: this.#estimator,
      events,
      model: this.#sharing.model,
      ownership,
      store,
    });
  }

  #createRetention(): Retention {
    const {clock, events, ownership, statusRetentionMs, store} = this.#options;
    const retentionMs = statusRetentionMs + RETENTION_MARGIN_MS;
    return new Retention({
      clock,
      events,
      fleet: this.#fleet,
      marks: this.#marks,
      ownership,
      retentionMs,
      store,
    });
  }

  #createRoundLog(orders: TrackedOrders): RoundLog {
    const {events, ownership} = this.#options;
    return new RoundLog({
      events,
      fleet: this.#fleet,
      load: this.#load,
      minions: this.#minions,
      orders,
      ownership,
      pollLimiter: this.#pollLimiters.answering,
      sharing: this.#sharing,
      startLimiter: this.#startLimiter,
      startThrottle: this.#startThrottle,
    });
  }

  #createWorkQueue(): WorkQueue {
    const {clock, events, ownership} = this.#options;
    const log = new TurnLog({events, load: this.#load, term: ownership.term});
    return new WorkQueue({
      clock,
      maxTurnMs: MAX_TURN_MS,
      onTurn: (turn, now) => {
        log.record(turn, now);
        this.#pollLimiters.answering.recordTurn(turn);
        this.#pollLimiters.silent.recordTurn(turn);
      },
    });
  }

  #isActing(): boolean {
    const {clock, ownership} = this.#options;
    return ownership.state(clock.monotonic(), clock.wall()) !== 'over';
  }

  #end(reason: string): void {
    this.#stopReason ??= reason;
    this.#options.ownership.end();
    this.#wakeUp();
  }

  /** Returns why nothing may start now; undefined when starts are planned. */
  #findHold(now: Instant): RoundHold | undefined {
    if (this.#isWindingDown) {
      return 'handover';
    }
    if (this.#startLimiter.isFull) {
      return 'backlog';
    }
    return this.#minions.isDirectoryOutdated(now) ? 'directory' : undefined;
  }

  /** Runs one round of planning and sends the resulting starts and stops. */
  #plan(): void {
    const {bounds, clock, events, ownership, queues} = this.#options;
    const now = clock.monotonic();
    const wall = clock.wall();
    const fleet = this.#fleet;
    this.#updateQueues(queues());
    ownership.directorySeenAt = this.#minions.directorySeenAt;
    this.#minions.sweep(ownership.confirmedAt, now);
    if (fleet.recoveryRevision > 0 && this.#minions.recovery.isComplete(ownership.confirmedAt)) {
      fleet.recoveryRevision = 0;
      events.record(OWNER_EVENTS.RECOVERY_DONE, {term: ownership.term});
    }
    for (const minion of fleet.minions.values()) {
      evacuateMinion(fleet, minion, this.#estimator, bounds, now);
      this.#sharing.evictExpiredRuns(fleet, minion, now);
    }
    const isTimeUp = createTimeLimit(clock, MAX_PLACEMENT_MS);
    const lastStart = fleet.plannedStarts + this.#startLimiter.takeRoom();
    const context = {
      advice: this.#advice.createLookup(now),
      deferrableStarts: this.#startThrottle.getAllowance(now, {
        hasUrgentWork: hasUrgentWork(fleet, now, wall),
      }),
      estimator: this.#estimator,
      finishMs: bounds.finishMs,
      isBacklogged: this.#startLimiter.isBacklogged,
      isTimeUp: (share?: number) => isTimeUp(share) || fleet.plannedStarts >= lastStart,
      now,
      sharingCosts: this.#sharing,
      sweep: this.#sweep,
      wall,
    };
    const hold = this.#findHold(now);
    const starts = hold === undefined ? planStarts(fleet, context) : [];
    const isRoomUsedUp = fleet.plannedStarts >= lastStart;
    this.#roundLog.record({context, hold, isRoomUsedUp, now, starts, wall});
    this.#startThrottle.recordStarts(countDeferrable(fleet, starts));
    for (const run of starts) {
      this.#minions.startRun(run);
    }
    for (const request of fleet.pendingStops.splice(0)) {
      this.#minions.stopRun(request);
    }
    if (fleet.dirtyJobs.size > 0) {
      this.#journal.wake();
    }
    if (this.#sweep.isOpen) {
      this.#wakeUp();
    }
  }

  /** Learns from the former owner what minions may run that do not report. */
  #receiveClosingRecord(): Promise<void> {
    const {clock} = this.#options;
    const isAwaited = (): boolean =>
      this.#isActing() &&
      (this.#fleet.recoveryRevision > 0 ||
        this.#minions.recovery.isAccountAwaited(clock.monotonic()));
    return this.#closingRecords.receive(isAwaited, (record) => {
      this.#minions.recovery.receive(record);
      this.#wakeUp();
    });
  }

  /** Reads the jobs, the former owner's roster and the minions; retries until all were read. */
  async #recover(): Promise<void> {
    const {events} = this.#options;
    while (this.#isActing()) {
      const [jobs, former, recorded] = await Promise.all([
        this.#jobs.start(),
        this.#roster.read(),
        this.#minions.recovery.read(),
        this.#learnedEstimates.read(),
      ]);
      // Runs in a listing whose jobs have not been read would be taken for unknown and stopped.
      const read = jobs.andThen(() => recorded).andThen(() => former);
      const minions = read.isOk() ? await this.#minions.start(read.value) : read;
      if (minions.isOk()) {
        return;
      }
      const {message} = minions.error;
      events.record(OWNER_EVENTS.STORE_CALL_FAILED, {message, what: 'recovery'});
      this.#jobs.pause();
      await delay(STORE_RETRY_MS);
    }
  }

  /** Reviews the speed and the tail latencies of a minion's runs after a listing. */
  #reviewRuns(minion: MinionState, now: Instant): void {
    this.#progressMonitor.checkProgress(this.#fleet, minion, now);
    this.#sharing.model.observe(minion, now);
    this.#sharing.evictInterferingRuns(this.#fleet, minion, now);
  }

  /** Waits for a change that may allow new starts, but at least `pauseMs` milliseconds. */
  async #sleep(pauseMs: number): Promise<void> {
    await delay(pauseMs);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, choosePlanIdle(pauseMs));
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
      if (this.#hasChanged) {
        this.#wakeUp();
      }
    });
    this.#hasChanged = false;
  }

  /** Copies the queues into the fleet when they have changed. */
  #updateQueues(queues: readonly QueuePolicy[]): void {
    if (queues !== this.#queues) {
      this.#queues = queues;
      replaceQueues(this.#fleet, queues);
    }
  }

  #wakeUp(): void {
    this.#hasChanged = true;
    this.#wake?.();
    this.#wake = undefined;
  }
}

/** Creates the state of a fleet whose minions may have runs of former owners. */
function createFleet({bounds, events, ownership}: OwnerOptions): Fleet {
  const fleet = new Fleet(events, bounds);
  fleet.formerReleasedAt = ownership.formerReleasedAt;
  fleet.runNumberBase = ownership.term * RUN_NUMBERS_PER_TERM + 1;
  fleet.recoveryRevision = ownership.token;
  return fleet;
}
