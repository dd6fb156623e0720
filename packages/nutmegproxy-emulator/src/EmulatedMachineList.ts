/** The list of the machines of emulated minions, as the platform would show it. */

import type {Clock, MinionId} from '@nutmegproxy/core';
import type {MachineList, MachineOccupants} from '@nutmegproxy/owner';
import type {MachineId} from '@nutmegproxy/scheduling';
import type {StoreFailure} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

import {brand} from '@nutmegproxy/core';
import {errAsync, okAsync} from 'neverthrow';

import type {EmulatedMinion} from './EmulatedMinion.ts';

export class EmulatedMachineList implements MachineList {
  /** Number of lists that were asked for. */
  calls = 0;
  isDown = false;
  readonly #clock: Clock;
  /** Minions whose machine has left the platform; the entries of the minions may still be there. */
  readonly gone = new Set<MinionId>();
  /** Minions whose machine is shown without a minion. */
  readonly hidden = new Set<MinionId>();
  /** Minions whose machine is shown with another minion. */
  readonly replaced = new Set<MinionId>();
  readonly #minions: ReadonlyMap<MinionId, EmulatedMinion>;

  constructor(clock: Clock, minions: ReadonlyMap<MinionId, EmulatedMinion>) {
    this.#clock = clock;
    this.#minions = minions;
  }

  list(): ResultAsync<MachineOccupants, StoreFailure> {
    this.calls += 1;
    if (this.isDown) {
      return errAsync({kind: 'unavailable', message: 'injected'});
    }
    const now = this.#clock.monotonic();
    const occupants = new Map<MachineId, MinionId | undefined>();
    for (const minion of this.#minions.values()) {
      const {id, machine} = minion.description;
      if (machine !== undefined && !this.gone.has(id)) {
        const isUp = !minion.isDown(now) && !this.hidden.has(id);
        const occupant = this.replaced.has(id) ? brand<MinionId>(`after ${id}`) : id;
        occupants.set(machine, isUp ? occupant : undefined);
      }
    }
    return okAsync(occupants);
  }
}
