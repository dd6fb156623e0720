/** Calls to a worker. A start is idempotent per attempt; docs/ASSUMPTIONS.md lists the assumptions. */

import type {TaskStart, WorkerReport, WorkerSync} from '@nutmegproxy/schema';
import type {ResultAsync} from 'neverthrow';

import type {PlatformFailure} from './VmList.ts';

export interface WorkerClient {
  close(): Promise<void>;
  /** Starts attempts in one call. After a failure of kind `unknown`, some may have started. */
  start(
    address: string,
    starts: readonly TaskStart[],
  ): ResultAsync<readonly StartOutcome[], PlatformFailure>;
  /** Renews, throttles, stops and acknowledges attempts; returns all that the worker knows. */
  sync(address: string, sync: WorkerSync): ResultAsync<WorkerReport, PlatformFailure>;
}

/** A worker's result for one start. */
export interface StartOutcome {
  readonly attempt: string;
  readonly reason?: string;
  readonly started: boolean;
}
