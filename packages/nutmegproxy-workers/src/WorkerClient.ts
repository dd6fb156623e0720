/** Calls to a worker. A start is idempotent by attempt; docs/ASSUMPTIONS.md states what is assumed. */

import type {TaskStart, WorkerReport, WorkerSync} from '@nutmegproxy/schema';
import type {ResultAsync} from 'neverthrow';

import type {PlatformFailure} from './VmList.ts';

export interface WorkerClient {
  close(): Promise<void>;
  /** Starts attempts in one call. A failure of kind `unknown` may have started some of them. */
  start(
    address: string,
    starts: readonly TaskStart[],
  ): ResultAsync<readonly StartOutcome[], PlatformFailure>;
  /** Renews, steers and acknowledges attempts, and lists all that the worker knows. */
  sync(address: string, sync: WorkerSync): ResultAsync<WorkerReport, PlatformFailure>;
}

/** What a worker answered to one start. */
export interface StartOutcome {
  readonly attempt: string;
  readonly reason?: string;
  readonly started: boolean;
}
