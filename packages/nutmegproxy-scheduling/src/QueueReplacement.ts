/** Replaces the configured queues, with what remains of those that are removed. */

import type {Fleet} from './Fleet.ts';
import type {QueuePolicy} from './QueuePolicy.ts';

/**
 * Replaces the queues. Open jobs of a queue that is removed keep the number of attempts that it allowed,
 * also under later owners: their failures so far were counted against it. It is stored here only for jobs
 * that don't keep it already, as earlier versions accepted them or the queue allowed another number then.
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
  }
}
