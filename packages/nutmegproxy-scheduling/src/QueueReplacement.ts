/** Replaces the configured queues, with what remains of those that are removed. */

import {isDeepStrictEqual} from 'node:util';

import type {Fleet} from './Fleet.ts';
import type {QueuePolicy} from './QueuePolicy.ts';

/**
 * Replaces the queues. Open jobs of a queue that is removed keep the number of attempts that it allowed,
 * also under later owners: their failures so far were counted against it. So they do the advice that it needed, as
 * their minions go on to reject starts without a ticket. Both are stored here only for jobs that don't keep them already, as earlier versions accepted them or the queue allowed another number then.
 *
 * @example
 * replaceQueues(fleet, configuration.queues);
 */
export function replaceQueues(fleet: Fleet, queues: readonly QueuePolicy[]): void {
  const former = new Map(fleet.queues);
  fleet.queues.clear();
  for (const queue of queues) {
    fleet.queues.set(queue.id, queue);
  }
  for (const job of fleet.jobs.open()) {
    const {queue} = job.request;
    const removed = fleet.queues.has(queue) ? undefined : former.get(queue);
    if (
      removed !== undefined &&
      fleet.resolveQueuePolicy(job).maxAttempts !== removed.maxAttempts
    ) {
      job.formerMaxAttempts = removed.maxAttempts;
      fleet.dirtyJobs.add(job);
    }
    if (removed !== undefined && !isDeepStrictEqual(job.keptAdvice, removed.advice)) {
      fleet.jobs.recordFormerAdvice(job, removed.advice ?? null);
      fleet.dirtyJobs.add(job);
    }
  }
}
