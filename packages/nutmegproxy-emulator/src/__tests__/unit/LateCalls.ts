/** Starts and stops that get no response, and that their minion carries out late or never. */

import type {MinionId} from '@nutmegproxy/core';
import type {OrderFailure} from '@nutmegproxy/owner';
import type {ResultAsync} from 'neverthrow';

import {errAsync} from 'neverthrow';

import type {EmulatedFleet} from '../../EmulatedFleet.ts';
import type {EmulatedMinion} from '../../EmulatedMinion.ts';

/** A call that would be later than this in milliseconds is lost. */
export const MAX_CALL_DELAY_MS = 5_000;

const UNANSWERED: OrderFailure = {
  clockMs: undefined,
  isTimeout: true,
  kind: 'unanswered',
  message: 'injected',
};

type CallKind = 'start' | 'stop';

export interface LateCallsOptions {
  /** Does something after a delay in milliseconds. */
  readonly after: (delayMs: number, act: () => void) => void;
  readonly fleet: EmulatedFleet;
  readonly minions: readonly EmulatedMinion[];
  readonly now: () => number;
  /** Whether a late call is carried out by a later incarnation than it was sent to; else it is lost. */
  readonly reachesLaterIncarnations: boolean;
}

/**
 * @example
 * const calls = new LateCalls({after, fleet, minions, now});
 * calls.begin('start', minion.description.id, 700);
 */
export class LateCalls {
  /** Delays in milliseconds of the calls to a minion. */
  readonly #delays: Record<CallKind, Map<MinionId, number>> = {start: new Map(), stop: new Map()};
  /** Delay in milliseconds of the starts on the next minion that gets one. */
  #nextDelayMs: number | undefined;
  readonly #options: LateCallsOptions;
  /** The last minion that was chosen by `beginOnNext`. */
  #target: EmulatedMinion | undefined;

  constructor(options: LateCallsOptions) {
    const {fleet, now} = options;
    this.#options = options;
    const start = fleet.start.bind(fleet);
    const stop = fleet.stop.bind(fleet);
    fleet.start = (target, order) =>
      this.#delay('start', target.id, (minion) => minion.start(order, now())) ??
      start(target, order);
    fleet.stop = (target, order) =>
      this.#delay('stop', target.id, (minion) => minion.stop(order, now())) ?? stop(target, order);
  }

  get target(): EmulatedMinion | undefined {
    return this.#target;
  }

  begin(kind: CallKind, id: MinionId, delayMs: number): void {
    this.#delays[kind].set(id, delayMs);
  }

  /** Delays the starts on the next minion that gets one. */
  beginOnNext(delayMs: number): void {
    this.#nextDelayMs = delayMs;
  }

  /** Ends what `beginOnNext` began. */
  endOnNext(): void {
    this.#nextDelayMs = undefined;
    if (this.#target !== undefined) {
      this.end('start', this.#target.description.id);
    }
  }

  end(kind: CallKind, id: MinionId): void {
    this.#delays[kind].delete(id);
  }

  #delay(
    kind: CallKind,
    id: MinionId,
    act: (minion: EmulatedMinion) => unknown,
  ): ResultAsync<never, OrderFailure> | undefined {
    const {after, minions, now, reachesLaterIncarnations} = this.#options;
    const minion = minions.find(({description}) => description.id === id);
    if (kind === 'start' && this.#nextDelayMs !== undefined) {
      this.begin(kind, id, this.#nextDelayMs);
      this.#nextDelayMs = undefined;
      this.#target = minion;
    }
    const delayMs = this.#delays[kind].get(id);
    if (delayMs === undefined || minion === undefined) {
      return undefined;
    }
    if (delayMs <= MAX_CALL_DELAY_MS) {
      const {bornAt} = minion.description;
      after(delayMs, () => {
        const isReached = reachesLaterIncarnations || minion.description.bornAt === bornAt;
        if (isReached && !minion.isDown(now())) {
          act(minion);
        }
      });
    }
    return errAsync(UNANSWERED);
  }
}
