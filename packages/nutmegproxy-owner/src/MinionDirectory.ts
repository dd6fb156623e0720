/** The platform's directory of minions. Each platform's adapter implements this interface. */

import type {MinionId} from '@nutmegproxy/core';
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

export interface MinionDirectory {
  list(): ResultAsync<MinionSnapshot, StoreFailure>;
  /** Reports changes until it is closed; after `onBroken` the caller has to list again. */
  watch(
    fromRevision: number,
    handler: {
      readonly onBroken: (failure: StoreFailure) => void;
      readonly onChanges: (changes: readonly MinionChange[]) => void;
    },
  ): Watch;
}
