/**
 * One ownership of the fleet, from taking it to losing it: recovers what runs, then plans starts
 * whenever something changes.
 */

import type {Clock, EventSink} from '@nutmegproxy/core';
import type {PlatformStore} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';
import {
  DurationEstimator,
  evacuateMinion,
  Fleet,
  planStarts,
  type QueuePolicy,
  RunProgressMonitor,
  SharingPolicy,
  summarizeFleet,
} from '@nutmegproxy/scheduling';

import type {AdviceClient} from './AdviceClient.ts';
import type {MinionDirectory} from './MinionDirectory.ts';
import type {MinionOrders} from './MinionOrders.ts';
import type {Tenure} from './Tenure.ts';

import {AdviceDesk} from './AdviceDesk.ts';
import {FleetFollower} from './FleetFollower.ts';
import {JobFollower} from './JobFollower.ts';
import {Journal} from './Journal.ts';
import {Knowledge} from './Knowledge.ts';
import {
  FOLLOW_RETRY_MS,
  PLAN_IDLE_MS,
  RETENTION_MARGIN_MS,
  RETENTION_PAUSE_MS,
  RUN_NUMBERS_PER_TERM,
  SUMMARY_PAUSE_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';
import {choosePlanPause} from './OwnerUtils.ts';
import {Retention} from './Retention.ts';
import {Roster} from './Roster.ts';
import {WaitingBoard} from './WaitingBoard.ts';

export interface OwnerOptions {
  /** Undefined where no service permits minions. */
  readonly advice: AdviceClient | undefined;
  readonly clock: Clock;
  readonly directory: MinionDirectory;
  readonly events: EventSink;
  readonly orders: MinionOrders;
  /** Queues of the configuration in force; another array once they have changed. */
  readonly queues: () => readonly QueuePolicy[];
  /** Time in milliseconds for which the state of an ended job is told. */
  readonly statusMs: number;
  readonly store: PlatformStore;
  readonly tenure: Tenure;
}

export class Owner {
  readonly #advice: AdviceDesk;
  readonly #estimate = new DurationEstimator();
  readonly #fleet: Fleet;
  readonly #jobs: JobFollower;
  readonly #journal: Journal;
  #isWoken = false;
  readonly #knowledge: Knowledge;
  readonly #minions: FleetFollower;
  readonly #options: OwnerOptions;
  readonly #progress = new RunProgressMonitor(this.#estimate);
  #queues: readonly QueuePolicy[] | undefined;
  readonly #roster: Roster;
  readonly #sharing = new SharingPolicy(this.#estimate);
  #stopReason: string | undefined;
  #summarizedAt = -Infinity;
  readonly #waiting: WaitingBoard;
  #wake: (() => void) | undefined;

  constructor(options: OwnerOptions) {
    const {clock, directory, events, orders, store, tenure} = options;
    this.#options = options;
    const onChange = (): void => {
      this.#wakeUp();
    };
    const onFenced = (): void => {
      this.stop('fenced');
    };
    this.#fleet = new Fleet(events);
    this.#fleet.runNumberBase = tenure.term * RUN_NUMBERS_PER_TERM + 1;
    this.#fleet.recoveryRevision = tenure.token;
    const {dirtyJobs} = this.#fleet;
    this.#journal = new Journal({dirtyJobs, events, onFenced, store, tenure});
    this.#roster = new Roster({events, onFenced, store, tenure});
    this.#knowledge = new Knowledge({
      clock,
      estimate: this.#estimate,
      events,
      model: this.#sharing.model,
      store,
      tenure,
    });
    const fleet = this.#fleet;
    this.#waiting = new WaitingBoard({events, fleet, store, tenure});
    this.#advice = new AdviceDesk({client: options.advice, clock, events, fleet, onChange});
    this.#jobs = new JobFollower({clock, events, fleet, onChange, onFenced, store, tenure});
    this.#minions = new FleetFollower({
      clock,
      directory,
      events,
      fleet,
      onChange,
      roster: this.#roster,
      session: {
        clock,
        events,
        findTicket: ({minion, step}) => this.#advice.findTicket(step, minion),
        fleet,
        isNearBound: (minion) => this.#sharing.isNearTarget(minion),
        journal: this.#journal,
        onAnswering: (minion) => {
          this.#minions.noteAnswering(minion);
        },
        onChange,
        onFenced,
        onListed: (minion, now) => {
          this.#progress.checkProgress(this.#fleet, minion, now);
          evacuateMinion(this.#fleet, minion, this.#estimate, now);
          this.#sharing.model.observe(minion, now);
          this.#sharing.evictInterferingRuns(this.#fleet, minion, now);
        },
        onRunDone: ({step}, durationMs) => {
          this.#estimate.recordDuration(step.job.request.queue, step.shape, durationMs);
        },
        onSilent: (minion) => {
          this.#minions.noteSilent(minion);
        },
        onTicketRejected: ({minion, step}) => {
          this.#advice.withdraw(step, minion);
        },
        orders,
        overdueInMs: (minion, now) => this.#progress.overdueInMs(minion, now),
        tenure,
      },
    });
  }

  /** Owns the fleet until the tenure ends; returns why it ended. */
  async run(): Promise<string> {
    const {clock, events, tenure} = this.#options;
    events.record(OWNER_EVENTS.RECOVERY_STARTED, {fence: tenure.token, term: tenure.term});
    void this.#journal.run();
    await this.#recover();
    void this.#advice.run(() => this.#isActing());
    void this.#waiting.run(() => this.#isActing());
    void this.#removeOldJobs();
    void this.#knowledge.run(() => this.#isActing());
    while (this.#isActing()) {
      const startedAt = clock.monotonic();
      this.#plan();
      await this.#sleep(choosePlanPause(clock.monotonic() - startedAt));
    }
    this.#jobs.close();
    this.#minions.close();
    this.#journal.stop();
    this.#roster.close();
    return this.#stopReason ?? 'lease not renewed';
  }

  /** Ends the ownership's work; nothing is ordered any more. */
  stop(reason: string): void {
    this.#stopReason ??= reason;
    this.#options.tenure.end();
    this.#wakeUp();
  }

  #isActing(): boolean {
    const {clock, tenure} = this.#options;
    return tenure.state(clock.monotonic(), clock.wall()) !== 'over';
  }

  /** One round of decisions. */
  #plan(): void {
    const {clock, events, queues, tenure} = this.#options;
    const now = clock.monotonic();
    const wall = clock.wall();
    const fleet = this.#fleet;
    this.#takeQueues(queues());
    this.#minions.sweep(tenure.provedAt, now);
    if (fleet.recoveryRevision > 0 && this.#minions.isSettled(tenure.provedAt)) {
      fleet.recoveryRevision = 0;
      events.record(OWNER_EVENTS.RECOVERY_DONE, {term: tenure.term});
    }
    const starts = planStarts(fleet, {
      advice: {isPermitted: (step, minion) => this.#advice.book.isPermitted(step, minion, now)},
      estimator: this.#estimate,
      now,
      sharingCosts: this.#sharing,
      wall,
    });
    if (now - this.#summarizedAt > SUMMARY_PAUSE_MS) {
      this.#summarizedAt = now;
      events.record(OWNER_EVENTS.FLEET_SUMMARY, summarizeFleet(fleet, now, wall));
    }
    for (const run of starts) {
      this.#minions.startRun(run);
    }
    for (const order of fleet.pendingStops.splice(0)) {
      this.#minions.stopRun(order);
    }
    if (fleet.dirtyJobs.size > 0) {
      this.#journal.wake();
    }
  }

  async #removeOldJobs(): Promise<void> {
    const {clock, events, statusMs, store, tenure} = this.#options;
    const retentionMs = statusMs + RETENTION_MARGIN_MS;
    const retention = new Retention({events, fleet: this.#fleet, retentionMs, store, tenure});
    while (this.#isActing()) {
      await delay(RETENTION_PAUSE_MS);
      await retention.sweep(clock.monotonic());
    }
  }

  /** Reads jobs, the former roster and the list of minions, until all have been read. */
  async #recover(): Promise<void> {
    const {events} = this.#options;
    while (this.#isActing()) {
      const [jobs, former] = await Promise.all([
        this.#jobs.start(),
        this.#roster.read(),
        this.#knowledge.read(),
      ]);
      const minions = former.isOk() ? await this.#minions.start(former.value) : former;
      if (jobs.isOk() && minions.isOk()) {
        return;
      }
      const failure = jobs.isErr() ? jobs.error : minions.isErr() ? minions.error : undefined;
      events.record(OWNER_EVENTS.STORE_FOLLOW_FAILED, {
        message: failure?.message,
        what: 'recovery',
      });
      this.#jobs.pause();
      this.#minions.pause();
      await delay(FOLLOW_RETRY_MS);
    }
  }

  /** Waits for something that allows new starts, but at least for a time in milliseconds. */
  async #sleep(pauseMs: number): Promise<void> {
    await delay(pauseMs);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, PLAN_IDLE_MS);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
      if (this.#isWoken) {
        this.#wakeUp();
      }
    });
    this.#isWoken = false;
  }

  /** Copies the queues into the fleet, unless it has them. */
  #takeQueues(queues: readonly QueuePolicy[]): void {
    if (queues === this.#queues) {
      return;
    }
    this.#queues = queues;
    this.#fleet.queues.clear();
    for (const queue of queues) {
      this.#fleet.queues.set(queue.id, queue);
    }
  }

  #wakeUp(): void {
    this.#isWoken = true;
    this.#wake?.();
    this.#wake = undefined;
  }
}
