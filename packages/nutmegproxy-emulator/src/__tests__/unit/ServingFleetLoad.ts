/**
 * The load of a small fleet for which long-running jobs ask more processors than it has, beside
 * short urgent jobs and backfill.
 */

import type {QueueId} from '@nutmegproxy/jobs';

import type {JobClass} from '../../Workload.ts';

import {ALERT_CLASS, DIGEST_CLASS, WATCHER_CLASS} from './LargeFleetLoad.ts';

export const PROOFS = 'proof' as QueueId;
export const CATALOGUES = 'catalogue' as QueueId;

/** Number of minions, with 616 cores. */
export const SERVING_FLEET = 33;

export const PROOF_CLASS: JobClass = {
  ...ALERT_CLASS,
  cpuMilli: {max: 3_400, mean: 1_100, spread: 0.45},
  durationMs: {max: 1_600, mean: 640, spread: 0.5},
  jobsPerS: 4.3,
  memoryMb: {max: 4_400, mean: 2_200, spread: 0.3},
  policy: {...ALERT_CLASS.policy, id: PROOFS},
  tasks: {max: 36, mean: 6, spread: 0.8},
};

export const RETOUCH_CLASS: JobClass = {
  ...DIGEST_CLASS,
  durationMs: {max: 6_800, mean: 2_700, spread: 0.5},
  jobsPerS: 3.3,
  policy: {...DIGEST_CLASS.policy, id: 'retouch' as QueueId},
  tasks: {max: 32, mean: 8, spread: 0.6},
};

export const CATALOGUE_CLASS: JobClass = {
  ...WATCHER_CLASS,
  images: 5,
  initialJobs: 34,
  jobsPerS: 0.15,
  policy: {...WATCHER_CLASS.policy, id: CATALOGUES},
  tasks: {max: 12, mean: 6, spread: 0.4},
};

/** Long-running jobs that ask three quarters of the processors. */
export const FITTING_CATALOGUE_CLASS: JobClass = {
  ...CATALOGUE_CLASS,
  initialJobs: 20,
  jobsPerS: 0.1,
};

/** Long-running jobs that ask one and a half times the processors from the start. */
export const CROWDING_CATALOGUE_CLASS: JobClass = {
  ...CATALOGUE_CLASS,
  initialJobs: 40,
};
