/** The platform's list of machines. Each platform's adapter implements this interface. */

import type {MinionId} from '@nutmegproxy/core';
import type {MachineId} from '@nutmegproxy/scheduling';
import type {StoreFailure} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

/** The minion that each listed machine runs at present; undefined while it runs none. */
export type MachineOccupants = ReadonlyMap<MachineId, MinionId | undefined>;

export interface MachineList {
  /** Returns the occupants of all machines, as of some time during the call. */
  list(): ResultAsync<MachineOccupants, StoreFailure>;
}
