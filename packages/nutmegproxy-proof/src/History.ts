/**
 * The history of a run as observed by callers, minions, workers, operators and entry VMs. All times
 * are wall-clock times in ms on one machine, so that they can be compared.
 */

import type {Resources} from '@nutmegproxy/schema';

/**
 * The outcome of a request for its caller. `cut`: the connection closed before the response was
 * complete; `pending`: the caller got no response before its timeout.
 */
export type CallerOutcome = 'answered' | 'cut' | 'not-run' | 'outcome-unknown' | 'pending';

/** One request as observed by its caller. */
export interface CallerRequest {
  readonly answer?: string;
  readonly endedAt?: number;
  readonly expectedAnswer?: string;
  readonly idempotencyKey?: string;
  readonly idempotent: boolean;
  readonly outcome: CallerOutcome;
  readonly request: string;
  readonly startedAt: number;
  /** Entry VM that the caller sent the request to. */
  readonly vm: string;
}

/** One run of a request at a minion. */
export interface MinionRun {
  readonly endedAt?: number;
  readonly idempotencyKey?: string;
  readonly minion: string;
  readonly request: string;
  readonly startedAt: number;
  /** An injected fault made the minion withhold or truncate the response. */
  readonly struck?: boolean;
}

export type AttemptState =
  'checkpointed' | 'failed' | 'lapsed' | 'running' | 'stopped' | 'succeeded';

/** One running interval of a task at a worker. */
export interface AttemptRun {
  readonly attempt: string;
  /** Work completed when the interval ended, in ms; a checkpoint preserves it. */
  readonly doneMs?: number;
  readonly endedAt?: number;
  readonly endState?: AttemptState;
  /** The larger of the declared and the actual use, per resource. */
  readonly needed: Resources;
  /** Reservation at the start; its owner may lower it later without telling the worker. */
  readonly reserved: Resources;
  readonly resumedFromMs: number;
  readonly startedAt: number;
  readonly task: string;
  readonly worker: string;
}

export interface WorkerSize {
  readonly capacity: Resources;
  readonly worker: string;
}

export interface MinionSize {
  readonly minion: string;
  readonly slots: number;
}

/** The announcement that a minion is leaving. */
export interface Departure {
  readonly at: number;
  readonly minion: string;
}

/** A planned stop of an entry VM, from its announcement until the process exits. */
export interface PlannedStop {
  readonly endedAt?: number;
  readonly startedAt: number;
  readonly vm: string;
}

/** A catalogue change that an operator received an acceptance for. */
export interface AcceptedRevision {
  readonly at: number;
  /** Id of the change. */
  readonly change?: string;
  /** Content of the catalogue at this revision, if it could be read. */
  readonly digest?: string;
  readonly revision: number;
}

/** The catalogue revision that an entry VM returned as in force. */
export interface ObservedRevision {
  readonly at: number;
  readonly digest: string;
  /** Identifies the process of the VM; a new process returns 0 until it has the catalogue. */
  readonly process: string;
  readonly revision: number;
  readonly vm: string;
}

/** A time range in which an entry VM was partitioned, paused or not running. */
export interface Outage {
  readonly from: number;
  readonly until: number;
  readonly vm: string;
}

/** An accepted job, with one entry per distinct key and job id. */
export interface AcceptedJob {
  readonly at: number;
  /** Whether all its tasks had ended when the history was closed. */
  ended: boolean;
  readonly job: string;
  readonly key: string;
}

/** One entry of the catalogue history at the end of the run. */
export interface ListedChange {
  readonly change: string;
  readonly revision: number;
}

export interface History {
  readonly absences: readonly Outage[];
  readonly accepted: readonly AcceptedRevision[];
  readonly attempts: readonly AttemptRun[];
  /** Time ranges in which an entry VM cannot read the VM list. */
  readonly blindTimes: readonly Outage[];
  /** Tasks of jobs for which a cancellation was requested; they need not be resumed. */
  readonly cancelledTasks: readonly string[];
  readonly departures: readonly Departure[];
  readonly jobs: readonly AcceptedJob[];
  /** Empty when the catalogue history was not read. */
  readonly listedChanges: readonly ListedChange[];
  readonly minionRuns: readonly MinionRun[];
  readonly minions: readonly MinionSize[];
  readonly requests: readonly CallerRequest[];
  readonly seen: readonly ObservedRevision[];
  /** Whether all work had time to complete before the history was closed. */
  readonly settled: boolean;
  readonly stops: readonly PlannedStop[];
  /** Time ranges in which the store was unavailable, slow or lost responses, for a VM. */
  readonly storeFaults: readonly Outage[];
  readonly workers: readonly WorkerSize[];
}

export const EMPTY_HISTORY: History = {
  absences: [],
  accepted: [],
  attempts: [],
  blindTimes: [],
  cancelledTasks: [],
  departures: [],
  jobs: [],
  listedChanges: [],
  minionRuns: [],
  minions: [],
  requests: [],
  seen: [],
  settled: true,
  stops: [],
  storeFaults: [],
  workers: [],
};
