/** Calls the advising service before its responses are needed, one call at a time. */

import type {Clock, EventSink, Instant, MinionId, PlatformBounds} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';
import type {AdviceLookup, AdviceQuery, Fleet, Ticket} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';
import {AdviceCache, chooseAdviceQuery} from '@nutmegproxy/scheduling';

import type {AdviceClient} from './AdviceClient.ts';

import {
  ADVICE_IDLE_PAUSE_MS,
  ADVICE_TIMEOUT_MARGIN_MS,
  ADVICE_UNUSED_PAUSE_MS,
} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

export interface AdvicePrefetcherOptions {
  readonly advice: AdviceClient | undefined;
  readonly bounds: Pick<PlatformBounds, 'finishMs'>;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly onChange: () => void;
}

export class AdvicePrefetcher {
  readonly #cache = new AdviceCache();
  readonly #options: AdvicePrefetcherOptions;

  constructor(options: AdvicePrefetcherOptions) {
    this.#options = options;
  }

  findTicket(step: StepState, minion: MinionId): Ticket | undefined {
    const state = this.#options.fleet.minions.get(minion);
    return state === undefined ? undefined : this.#cache.findTicket(step, state);
  }

  /** Returns the permissions that are known at an instant. */
  createLookup(now: Instant): AdviceLookup {
    return {isPermitted: (step, minion) => this.#cache.isPermitted(step, minion, now)};
  }

  /** Calls the service while `isActing` returns true. */
  async run(isActing: () => boolean): Promise<void> {
    const {advice, bounds, clock, fleet} = this.#options;
    while (advice !== undefined && isActing()) {
      if (this.#isUnused()) {
        await delay(ADVICE_UNUSED_PAUSE_MS);
        continue;
      }
      const now = clock.monotonic();
      const query = chooseAdviceQuery(this.#cache, fleet, {bounds, now, wall: clock.wall()});
      if (query === undefined || !(await this.#ask(advice, query))) {
        await delay(ADVICE_IDLE_PAUSE_MS);
      }
    }
  }

  invalidate(step: StepState, minion: MinionId): void {
    const state = this.#options.fleet.minions.get(minion);
    if (state !== undefined) {
      this.#cache.invalidate(step, state);
    }
  }

  /** Whether queues are known of which none needs advice, nor a job whose queue may have been removed. */
  #isUnused(): boolean {
    const {jobs, queues} = this.#options.fleet;
    const isQueueAdvised = [...queues.values()].some(({advice}) => advice !== undefined);
    return queues.size > 0 && jobs.advised.size === 0 && !isQueueAdvised;
  }

  /** Calls the service once; false when a pause has to follow. */
  async #ask(client: AdviceClient, query: AdviceQuery): Promise<boolean> {
    const {clock, events, fleet, onChange} = this.#options;
    const {minions, step} = query;
    const policy = fleet.resolveQueuePolicy(step.job).advice;
    const expectedMs = (policy?.callMs ?? 0) + (policy?.perMinionMs ?? 0) * minions.length;
    const requestedAt = clock.monotonic();
    const name = `${step.job.id}.${step.occurrence}.${step.number}`;
    const ids = minions.map(({id}) => id);
    this.#cache.recordCall(query, requestedAt);
    const answer = await client.ask(name, ids, expectedMs + ADVICE_TIMEOUT_MARGIN_MS);
    if (answer.isErr()) {
      events.record(OWNER_EVENTS.ADVICE_FAILED, {...answer.error, job: step.job.id, step: name});
      return false;
    }
    const {tickets} = answer.value;
    const validMs = answer.value.validMs ?? policy?.validMs ?? 0;
    this.#cache.recordResponse(query, tickets, (requestedAt + validMs) as Instant);
    events.record(OWNER_EVENTS.ADVICE_RECEIVED, {
      asked: ids.length,
      job: step.job.id,
      permitted: tickets.size,
      step: name,
      tookMs: Math.round(clock.monotonic() - requestedAt),
      validMs,
    });
    onChange();
    return true;
  }
}
