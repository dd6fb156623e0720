/** The operator's configuration: the queues, their routes and the limits of calls. */

import type {QueuePolicy} from '@nutmegproxy/scheduling';
import type {StoreFailure, Watch} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

/** A queue and the host and path prefix of its calls. */
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
  /** Size in bytes as stored. */
  readonly bytes: number;
  /** Undefined until the operator has written one. */
  readonly configuration: Configuration | undefined;
  /** Revision of the store at the read; start a watch at `revision + 1` to miss no change. */
  readonly revision: number;
}

/** Reads and watches the operator's configuration. Implemented by the adapter of a platform. */
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
