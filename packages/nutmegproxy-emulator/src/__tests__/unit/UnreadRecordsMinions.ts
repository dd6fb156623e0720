/** The minions of a play, and what happens to them. */

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {TakeoverHarness} from './TakeoverHarness.ts';
import type {MinionEvent, MinionFault, UnreadRecordsPlay} from './UnreadRecordsPlays.ts';

import {LateCalls} from './LateCalls.ts';

/** Reading in milliseconds of the clock of an incarnation that has just begun. */
const YOUNG_CLOCK_MS = 100;
/** Time in milliseconds for which the entry of a minion is kept whose machine is gone. */
const ENTRY_KEPT_MS = 3_500;
const MIN_DRAINING_MS = 1_500;
/** Time in milliseconds for which stops on a minion are late. */
const LATE_CALLS_MS = 3_000;
const MAX_DOWN_MS = 3_000;

export interface UnreadRecordsMinionsOptions {
  /** Does something after a delay in milliseconds. */
  readonly after: (delayMs: number, act: () => void) => void;
  readonly harness: TakeoverHarness;
  readonly play: UnreadRecordsPlay;
}

/**
 * @example
 * const minions = new UnreadRecordsMinions({after, harness, play});
 * minions.add('m0');
 * minions.play({atMs: 0, kind: 'lose', lengthMs: 0, minion: 0});
 */
export class UnreadRecordsMinions {
  readonly all: EmulatedMinion[] = [];
  readonly #calls: LateCalls;
  readonly #gone = new Set<EmulatedMinion>();
  readonly #options: UnreadRecordsMinionsOptions;

  constructor(options: UnreadRecordsMinionsOptions) {
    const {after, harness} = options;
    this.#calls = new LateCalls({
      after,
      fleet: harness.fleet,
      minions: this.all,
      now: () => harness.clock.monotonic(),
      reachesLaterIncarnations: false,
    });
    this.#options = options;
  }

  add(name: string): void {
    const {harness, play} = this.#options;
    const {clockLagRate, expiryLatenessMs, maxMinionLeaseMs, stopMs} = play;
    const clock = {clockLagRate, expiryLatenessMs, restartClockMs: YOUNG_CLOCK_MS};
    const bounds = {...clock, maxMinionLeaseMs, stopMs};
    this.all.push(harness.addMinion(name, undefined, bounds));
  }

  /** Lets minions end what has lapsed. */
  advance(): void {
    for (const minion of this.all) {
      minion.advance(this.#options.harness.clock.monotonic());
    }
  }

  /** Lets an event begin, unless the minion is gone. */
  play(kind: MinionFault, {lengthMs, minion: index}: MinionEvent): void {
    const minion = this.all[index];
    if (minion !== undefined) {
      this.#handlers[kind](lengthMs, minion);
    }
  }

  readonly #handlers: Readonly<
    Record<MinionFault, (lengthMs: number, minion: EmulatedMinion) => void>
  > = {
    cutOff: (lengthMs, minion) => {
      this.#affect(minion, lengthMs, ({id}, isBegun) => {
        this.#options.harness.fleet.faults(id).isUnreachable = isBegun;
      });
    },
    drain: (lengthMs, minion) => {
      this.#affect(minion, Math.max(MIN_DRAINING_MS, lengthMs), ({id}, isBegun) => {
        if (isBegun) {
          this.#updateEntry(minion, true);
        } else {
          this.#end(minion);
          this.#options.harness.fleet.remove(id);
        }
      });
    },
    lateStops: (lengthMs, minion) => {
      this.#affect(minion, LATE_CALLS_MS, ({id}, isBegun) => {
        if (isBegun) {
          this.#calls.begin('stop', id, lengthMs);
        } else {
          this.#calls.end('stop', id);
        }
      });
    },
    lose: (_, minion) => {
      this.#affect(minion, ENTRY_KEPT_MS, ({id}, isBegun) => {
        if (isBegun) {
          this.#end(minion);
          this.#options.harness.fleet.machineList?.gone.add(id);
        } else {
          this.#options.harness.fleet.remove(id);
        }
      });
    },
    restart: (lengthMs, minion) => {
      const downMs = lengthMs % MAX_DOWN_MS;
      this.#affect(minion, downMs, (_, isBegun) => {
        if (isBegun) {
          minion.crash(downMs, this.#options.harness.clock.monotonic());
        } else {
          this.#updateEntry(minion);
        }
      });
    },
  };

  #affect(
    minion: EmulatedMinion,
    lengthMs: number,
    change: (description: EmulatedMinion['description'], isBegun: boolean) => void,
  ): void {
    if (this.#gone.has(minion)) {
      return;
    }
    change(minion.description, true);
    this.#options.after(lengthMs, () => {
      change(minion.description, false);
    });
  }

  #end(minion: EmulatedMinion): void {
    minion.crash(Infinity, this.#options.harness.clock.monotonic());
    this.#gone.add(minion);
  }

  #updateEntry(minion: EmulatedMinion, isDraining = false): void {
    if (!this.#gone.has(minion)) {
      const {description} = minion;
      minion.description = {...description, isDraining: isDraining || description.isDraining};
      this.#options.harness.fleet.add(minion);
    }
  }
}
