/** The minions that the platform lists. The adapter of a platform implements this. */

import type {MinionId} from '@nutmegproxy/core';
import type {MinionDescription} from '@nutmegproxy/scheduling';
import type {StoreFailure, Watch} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

/** A change of the list; `description` is undefined when the entry was removed or can't be read. */
export interface MinionChange {
  readonly description: MinionDescription | undefined;
  readonly id: MinionId;
}

export interface MinionSnapshot {
  readonly minions: readonly MinionDescription[];
  /** A watch that follows on starts at `revision + 1`. */
  readonly revision: number;
}

export interface MinionDirectory {
  list(): ResultAsync<MinionSnapshot, StoreFailure>;
  /** Reports changes until it is closed; `onBroken` asks the holder to list anew. */
  watch(
    fromRevision: number,
    handler: {
      readonly onBroken: (failure: StoreFailure) => void;
      readonly onChanges: (changes: readonly MinionChange[]) => void;
    },
  ): Watch;
}
