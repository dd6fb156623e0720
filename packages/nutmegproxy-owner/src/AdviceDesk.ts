/** Asks the advising service ahead of need, one call at a time. */

import type {Clock, EventSink, Instant, MinionId} from '@nutmegproxy/core';
import type {StepState} from '@nutmegproxy/jobs';
import type {AdviceQuery, Fleet, Ticket} from '@nutmegproxy/scheduling';

import {delay} from '@nutmegproxy/core';
import {AdviceCache, isSchedulable} from '@nutmegproxy/scheduling';

import type {AdviceClient} from './AdviceClient.ts';

import {ADVICE_IDLE_MS, ADVICE_SLACK_MS} from './OwnerConstants.ts';
import {OWNER_EVENTS} from './OwnerEvents.ts';

export interface AdviceDeskOptions {
  readonly client: AdviceClient | undefined;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly fleet: Fleet;
  readonly onChange: () => void;
}

export class AdviceDesk {
  readonly book = new AdviceCache();
  readonly #options: AdviceDeskOptions;

  constructor(options: AdviceDeskOptions) {
    this.#options = options;
  }

  findTicket(step: StepState, minion: MinionId): Ticket | undefined {
    const state = this.#options.fleet.minions.get(minion);
    return state === undefined ? undefined : this.book.findTicket(step, state);
  }

  /** Asks while the ownership lasts. */
  async run(isActing: () => boolean): Promise<void> {
    const {client, clock} = this.#options;
    while (client !== undefined && isActing()) {
      const question = this.#chooseQuestion(clock.monotonic());
      if (question === undefined || !(await this.#ask(client, question))) {
        await delay(ADVICE_IDLE_MS);
      }
    }
  }

  withdraw(step: StepState, minion: MinionId): void {
    const state = this.#options.fleet.minions.get(minion);
    if (state !== undefined) {
      this.book.invalidate(step, state);
    }
  }

  /** Asks once; false when a pause has to follow. */
  async #ask(client: AdviceClient, question: AdviceQuery): Promise<boolean> {
    const {clock, events, fleet, onChange} = this.#options;
    const {minions, step} = question;
    const policy = fleet.resolveQueuePolicy(step.job).advice;
    const expectedMs = (policy?.callMs ?? 0) + (policy?.perMinionMs ?? 0) * minions.length;
    const askedAt = clock.monotonic();
    const name = `${step.job.id}.${step.occurrence}.${step.number}`;
    const ids = minions.map(({id}) => id);
    const answer = await client.ask(name, ids, expectedMs + ADVICE_SLACK_MS);
    if (answer.isErr()) {
      events.record(OWNER_EVENTS.ADVICE_FAILED, {...answer.error, job: step.job.id, step: name});
      return false;
    }
    const {tickets} = answer.value;
    const validMs = answer.value.validMs ?? policy?.validMs ?? 0;
    this.book.recordAnswer(question, tickets, (askedAt + validMs) as Instant);
    events.record(OWNER_EVENTS.ADVICE_GIVEN, {
      asked: ids.length,
      job: step.job.id,
      permitted: tickets.size,
      step: name,
      tookMs: Math.round(clock.monotonic() - askedAt),
      validMs,
    });
    onChange();
    return true;
  }

  /** Steps with tasks to place first, then those whose turn is yet to come. */
  #chooseQuestion(now: Instant): AdviceQuery | undefined {
    const {clock, fleet} = this.#options;
    const wall = clock.wall();
    const ready: StepState[] = [];
    const later: StepState[] = [];
    for (const job of fleet.jobs.values()) {
      if (job.isFinal || fleet.resolveQueuePolicy(job).advice === undefined) {
        continue;
      }
      for (const steps of job.openOccurrences(wall)) {
        for (const step of steps) {
          const isReady = step.shape.after.every((earlier) => steps[earlier]?.isDone ?? false);
          (isReady ? ready : later).push(step);
        }
      }
    }
    const usable = [...fleet.minions.values()].filter((minion) => isSchedulable(minion, now));
    return this.book.chooseQuery(fleet, [...ready, ...later], usable, now);
  }
}
