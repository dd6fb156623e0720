/** The configuration in force: which queue a call is for. */

import type {QueuePolicy} from '@nutmegproxy/scheduling';
import type {StoreFailure, Watch} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

/** A queue and the calls that are for it. */
export interface QueueRoute extends QueuePolicy {
  readonly host: string;
  readonly pathPrefix: string;
}

export interface CallLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface Configuration {
  readonly limits: CallLimits;
  readonly routes: readonly QueueRoute[];
  readonly version: number;
}

export interface ConfigurationSnapshot {
  /** Undefined while the operator has written none. */
  readonly configuration: Configuration | undefined;
  /** A watch that follows on starts at `revision + 1`. */
  readonly revision: number;
}

/** Where the operator's configuration comes from. The adapter of a platform implements this. */
export interface ConfigurationSource {
  read(): ResultAsync<ConfigurationSnapshot, StoreFailure>;
  watch(
    fromRevision: number,
    handler: {
      readonly onBroken: (failure: StoreFailure) => void;
      readonly onChange: (configuration: Configuration) => void;
    },
  ): Watch;
}
