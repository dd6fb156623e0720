/**
 * A history of a run: what callers, minions, workers, operators and entry VMs saw. All times are
 * wall times in ms of one machine, so that they can be compared.
 */

import type {Resources} from '@nutmegproxy/schema';

/**
 * How a request ended for its caller. `cut`: the connection ended without a whole answer; `pending`:
 * the run ended first.
 */
export type CallerOutcome = 'answered' | 'cut' | 'not-run' | 'outcome-unknown' | 'pending';

/** One request as its caller saw it. */
export interface CallerRequest {
  readonly answer?: string;
  readonly endedAt?: number;
  readonly expectedAnswer?: string;
  readonly idempotencyKey?: string;
  readonly idempotent: boolean;
  readonly outcome: CallerOutcome;
  readonly request: string;
  readonly startedAt: number;
  /** Entry VM that the caller spoke to. */
  readonly vm: string;
}

/** One run of a request at a minion. */
export interface MinionRun {
  readonly endedAt?: number;
  readonly idempotencyKey?: string;
  readonly minion: string;
  readonly request: string;
  readonly startedAt: number;
  /** The minion itself kept or cut the answer, as a fault told it to. */
  readonly struck?: boolean;
}

export type AttemptState =
  'checkpointed' | 'failed' | 'lapsed' | 'running' | 'stopped' | 'succeeded';

/** One running interval of a task at a worker. */
export interface AttemptRun {
  readonly attempt: string;
  /** Work that was done at the end, in ms; a checkpoint carries it on. */
  readonly doneMs?: number;
  readonly endedAt?: number;
  readonly endState?: AttemptState;
  /** The larger of what the catalogue declares and what the task really uses. */
  readonly needed: Resources;
  /** Reservation when it was started; its owner may lower it later without the worker's knowledge. */
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

/** A minion was announced as leaving. */
export interface Departure {
  readonly at: number;
  readonly minion: string;
}

/** A planned stop of an entry VM, from its announcement to the end of the process. */
export interface PlannedStop {
  readonly endedAt?: number;
  readonly startedAt: number;
  readonly vm: string;
}

/** A change that an operator was told is accepted. */
export interface AcceptedRevision {
  readonly at: number;
  /** Id of the change. */
  readonly change?: string;
  /** Tells the content of the catalogue at this revision, if it could be read. */
  readonly digest?: string;
  readonly revision: number;
}

/** What an entry VM said is in force, when asked. */
export interface ObservedRevision {
  readonly at: number;
  readonly digest: string;
  /** Tells the VM's processes apart; a new one shows 0 until it knows the catalogue. */
  readonly process: string;
  readonly revision: number;
  readonly vm: string;
}

/** A time in which an entry VM was cut off, paused or dead; it can't hear of changes then. */
export interface Outage {
  readonly from: number;
  readonly until: number;
  readonly vm: string;
}

/** A job that a caller was told is accepted, once for each answer that said so. */
export interface AcceptedJob {
  readonly at: number;
  /** Whether all its tasks had ended when the history was closed. */
  ended: boolean;
  readonly job: string;
  readonly key: string;
}

/** One line of the catalogue's history as it stood at the end. */
export interface ListedChange {
  readonly change: string;
  readonly revision: number;
}

export interface History {
  readonly absences: readonly Outage[];
  readonly accepted: readonly AcceptedRevision[];
  readonly attempts: readonly AttemptRun[];
  /** Times in which an entry VM can't read the list of VMs. */
  readonly blindTimes: readonly Outage[];
  /** Tasks whose cancellation was accepted; they needn't be resumed. */
  readonly cancelledTasks: readonly string[];
  readonly departures: readonly Departure[];
  readonly jobs: readonly AcceptedJob[];
  /** Empty when the catalogue's history was not read. */
  readonly listedChanges: readonly ListedChange[];
  readonly minionRuns: readonly MinionRun[];
  readonly minions: readonly MinionSize[];
  readonly requests: readonly CallerRequest[];
  readonly seen: readonly ObservedRevision[];
  /** Whether all work had the time to end before the history was closed. */
  readonly settled: boolean;
  readonly stops: readonly PlannedStop[];
  /** Times in which the store was down, slow or lost answers, for a VM. */
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
