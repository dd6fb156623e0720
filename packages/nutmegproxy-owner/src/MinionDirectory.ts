/** The platform's directory of minions. Each platform's adapter implements this interface. */

import type {Instant, MinionId} from '@nutmegproxy/core';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {StoreFailure, Watch} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

/** A changed entry; `description` is undefined when the entry was removed or is malformed. */
export interface MinionChange {
  readonly description: MinionDescription | undefined;
  readonly id: MinionId;
}

export interface MinionSnapshot {
  readonly minions: readonly MinionDescription[];
  /** Revision of the snapshot; a watch that continues from it starts at `revision + 1`. */
  readonly revision: number;
}

/** A watch of the directory, and which state of it has been reported. */
export interface MinionWatch extends Watch {
  /** All changes made before this instant have been reported; undefined while none are known to be. */
  readonly currentAsOf: Instant | undefined;
  /** Whether the last call to the directory failed. */
  readonly isFailing: boolean;
}

export interface MinionDirectory {
  list(): ResultAsync<MinionSnapshot, StoreFailure>;
  /** Reports changes until it is closed; after `onBroken` the caller has to list again. */
  watch(
    fromRevision: number,
    handler: {
      readonly onBroken: (failure: StoreFailure) => void;
      readonly onChanges: (changes: readonly MinionChange[]) => void;
    },
  ): MinionWatch;
}
