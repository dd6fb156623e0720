/** Dependencies and callbacks that the sessions of all minions share. */

import type {Clock, EventSink, Instant, PlatformBounds, WorkQueue} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {Fleet, MinionState, Ticket} from '@nutmegproxy/scheduling';

import type {FleetOwnership} from './FleetOwnership.ts';
import type {Journal} from './Journal.ts';
import type {MinionOrders} from './MinionOrders.ts';
import type {OwnerLoad} from './OwnerLoad.ts';
import type {PollLimiter} from './PollLimiter.ts';
import type {StartLimiter} from './StartLimiter.ts';

/** Polls of silent minions have a limit of their own, since each takes as long as its timeout. */
export interface PollLimiters {
  readonly answering: PollLimiter;
  readonly silent: PollLimiter;
}

export interface SessionContext {
  readonly bounds: Pick<PlatformBounds, 'drainMs'>;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly findTicket: (run: Run) => Ticket | undefined;
  readonly fleet: Fleet;
  /** Whether a minion may have begun to drain so long ago, unseen, that nothing may start now. */
  readonly isDirectoryOutdated: (now: Instant) => boolean;
  /** Whether the tail latency of a serving task of the minion is near or over its target. */
  readonly isNearTarget: (minion: MinionState) => boolean;
  readonly journal: Journal;
  readonly load: OwnerLoad;
  /** Called when a minion that is flagged as silent responds. */
  readonly onAnswering: (minion: MinionState) => void;
  /** Called after anything that may allow new starts. */
  readonly onChange: () => void;
  /** Called when a minion reports the fencing token of another owner, or the ownership has ended. */
  readonly onFenced: () => void;
  /** Called after each listing was applied. */
  readonly onListed: (minion: MinionState, now: Instant) => void;
  readonly onRunDone: (run: Run, durationMs: number) => void;
  /** Called when the incarnation of a minion that ran these has ended. */
  readonly onRunsLost: (minion: MinionState, runs: readonly Run[]) => void;
  /** Called when a minion has not responded to several consecutive calls. */
  readonly onSilent: (minion: MinionState) => void;
  readonly onTicketRejected: (run: Run) => void;
  readonly orders: MinionOrders;
  /** Time in milliseconds until a run of the minion is overdue. */
  readonly overdueInMs: (minion: MinionState, now: Instant) => number;
  readonly ownership: FleetOwnership;
  /** Whether the lease of a minion may be renewed now. */
  readonly permitRenewal: (minion: MinionState) => boolean;
  readonly pollLimiters: PollLimiters;
  /**
   * Records that this owner uses a minion; resolves once that is stored, or after a short time. A
   * draining minion needs a draining record first.
   */
  readonly recordUse: (minion: MinionState) => Promise<void>;
  readonly startLimiter: StartLimiter;
  readonly work: WorkQueue;
}
