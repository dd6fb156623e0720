/** Crashes of minions under the tasks of one step, and starts that may cause another one. */

import type {Instant, MinionId} from '@nutmegproxy/core';

import type {RunNumber} from './JobModel.ts';

/**
 * `alone`: the minion ran no other job. `shared`: other jobs may be to blame. `coincident`: other
 * minions failed at the same time, so that the machines are likely to blame. `unconfirmed`: the
 * minion had not confirmed the start and may have been down before, or was cut off before it crashed.
 * `unstable`: the minion crashed soon before or after when no run there could be to blame, too.
 */
export type CrashEvidence = 'alone' | 'coincident' | 'shared' | 'unconfirmed' | 'unstable';

/** Evidence of crashes that are likely due to the machine. */
export type MachineEvidence = Extract<CrashEvidence, 'coincident' | 'unstable'>;

/** A crash of a minion that had a run of the task; stored in the job's progress. */
export interface TaskCrash {
  /** Address of the minion, which it may keep under another id. */
  readonly address: string;
  /** Time in milliseconds for which the run is known to have been live before the crash. */
  readonly ageMs: number;
  readonly evidence: CrashEvidence;
  readonly minion: MinionId;
  readonly run: RunNumber;
}

/** A start of a suspected task, which is stored before it is sent. */
export interface TaskTrial {
  /** Start of the minion's incarnation in Unix milliseconds; absent when it is not reported. */
  readonly bornAt?: number;
  readonly minion: MinionId;
  readonly run: RunNumber;
}

/** Crashes and trials of a step as they are stored, by task index; absent when there are none. */
export interface StepCrashProgress {
  readonly crashes?: Readonly<Record<number, readonly TaskCrash[]>>;
  readonly trials?: Readonly<Record<number, TaskTrial>>;
}

export class StepCrashes {
  /** Starts of suspected tasks whose outcome is not known, by task index. */
  readonly trials = new Map<number, TaskTrial>();
  readonly #crashes = new Map<number, readonly TaskCrash[]>();
  /** When this owner recorded the last crash under a task, or since when that counts which it read. */
  readonly #consideredAt = new Map<number, Instant>();
  /** When the minion of the last crash under a task fell silent, if this owner recorded it. */
  readonly #idleSince = new Map<number, Instant>();

  constructor(progress: StepCrashProgress = {}) {
    for (const [index, crashes] of Object.entries(progress.crashes ?? {})) {
      this.#crashes.set(Number(index), crashes);
    }
    for (const [index, trial] of Object.entries(progress.trials ?? {})) {
      this.trials.set(Number(index), trial);
    }
  }

  get isEmpty(): boolean {
    return this.#crashes.size + this.trials.size === 0;
  }

  /** Indexes of the tasks with crashes. */
  get indexes(): readonly number[] {
    return [...this.#crashes.keys()];
  }

  /**
   * Returns when this owner recorded the last crash under a task, or since when that which it read is known to have been
   * stored; where that is not known, when it was first considered.
   */
  consideredAt(index: number, now: Instant, storedAt = now): Instant {
    const at = this.#consideredAt.get(index) ?? storedAt;
    this.#consideredAt.set(index, at);
    return at;
  }

  /** Returns since when a task does not run after the last crash under it, as far as that is known. */
  idleSince(index: number, now: Instant, storedAt = now): Instant {
    return this.#idleSince.get(index) ?? this.consideredAt(index, now, storedAt);
  }

  /** Drops all that is recorded of a task; returns whether there was anything. */
  clear(index: number): boolean {
    this.#consideredAt.delete(index);
    this.#idleSince.delete(index);
    const hadTrial = this.trials.delete(index);
    return this.#crashes.delete(index) || hadTrial;
  }

  /** Removes the trial with this run number; returns whether there was one. */
  endTrial(index: number, run: RunNumber): boolean {
    return this.trials.get(index)?.run === run && this.trials.delete(index);
  }

  of(index: number): readonly TaskCrash[] {
    return this.#crashes.get(index) ?? [];
  }

  /**
   * Records a crash of a minion that fell silent at `silentSince`; returns false when the crash under this run was
   * recorded before.
   */
  record(index: number, crash: TaskCrash, now: Instant, silentSince = now): boolean {
    const crashes = this.of(index);
    if (crashes.some(({run}) => run === crash.run)) {
      return false;
    }
    this.#crashes.set(index, [...crashes, crash]);
    this.#consideredAt.set(index, now);
    this.#idleSince.set(index, silentSince);
    return true;
  }

  /**
   * Marks the crash under a run as one of the machine; returns whether that is a change. One that is
   * `unstable` stays so.
   */
  excuse(index: number, number: RunNumber, evidence: MachineEvidence): boolean {
    const crashes = this.of(index);
    const isChange = crashes.some(
      (crash) =>
        crash.run === number && crash.evidence !== evidence && crash.evidence !== 'unstable',
    );
    if (isChange) {
      this.#crashes.set(
        index,
        crashes.map((crash) => (crash.run === number ? {...crash, evidence} : crash)),
      );
    }
    return isChange;
  }

  /** Returns the records as they are stored. */
  exportProgress(): StepCrashProgress {
    return {
      ...(this.#crashes.size > 0 && {crashes: Object.fromEntries(this.#crashes)}),
      ...(this.trials.size > 0 && {trials: Object.fromEntries(this.trials)}),
    };
  }
}
