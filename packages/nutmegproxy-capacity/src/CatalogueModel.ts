/** The catalogue of a measurement. */

import type {Catalogue, Entry} from '@nutmegproxy/schema';

import {SERVICE, TASK_CPU, TASK_ENTRY, TASK_MEMORY_MB, TEAMS} from './CapacityConstants.ts';

const QUEUE_LIMIT = 100;
const TIMEOUT_MS = 5_000;

function describeEntry(index: number): Entry {
  return {
    class: 'latency-critical',
    id: `entry-${index}`,
    kind: 'request',
    limits: {concurrency: 64, queue: QUEUE_LIMIT, timeoutMs: TIMEOUT_MS},
    owner: `team-${index % TEAMS}`,
    service: SERVICE,
  };
}

/**
 * Builds a catalogue with the given number of entries. Varying `attempts` makes successive catalogues
 * differ. Only entries of the first `teams` teams are included, so that a large catalogue can be
 * applied in parts.
 *
 * @example
 * buildCatalogue(9_000, 1).entries.length; // 9000
 */
export function buildCatalogue(entries: number, attempts: number, teams = TEAMS): Catalogue {
  const task: Entry = {
    class: 'batch',
    id: TASK_ENTRY,
    kind: 'task',
    limits: {attempts, cpu: TASK_CPU, memoryMb: TASK_MEMORY_MB},
    owner: 'team-0',
  };
  const others = Array.from({length: Math.max(0, entries - 1)}, (_, index) => describeEntry(index));
  const owners = Array.from({length: teams}, (_, index) => ({
    id: `team-${index}`,
    quota: {cpu: 100_000, requests: 10_000},
  }));
  const owned = others.filter((_, index) => index % TEAMS < teams);
  return {entries: [task, ...owned], teams: owners};
}
