/** What tests of the owner's records share. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {LeaseId, PlatformStore} from '@nutmegproxy/store';

import {put} from '@nutmegproxy/store';
import {errAsync} from 'neverthrow';

import type {FencingToken} from '../../MinionOrders.ts';

import {FleetOwnership} from '../../FleetOwnership.ts';
import {OWNER_KEY} from '../../OwnerElection.ts';

/** Lets a store's answers arrive. */
export async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 20));
}

/** Takes the ownership in a store, without a lease. */
export async function acquireOwnership(store: PlatformStore): Promise<FleetOwnership> {
  const token = (await put(store, OWNER_KEY, Buffer.from('vm')))._unsafeUnwrap() as FencingToken;
  return new FleetOwnership({lease: '1' as LeaseId, term: 0, token}, 0 as Instant, 0 as WallTime);
}

/** A write that got no answer and has not been carried out yet. */
export interface LateWrite {
  /** Carries it out now, if its conditions still hold. */
  readonly arrive: () => Promise<void>;
}

/** Lets the next write of a store go without an answer, to be carried out later. */
export function delayNextWrite(store: PlatformStore): LateWrite[] {
  const late: LateWrite[] = [];
  const commit = store.commit.bind(store);
  store.commit = (transaction) => {
    if (late.length > 0 || !transaction.then.some(({kind}) => kind === 'put')) {
      return commit(transaction);
    }
    late.push({
      arrive: async () => {
        await commit(transaction);
      },
    });
    return errAsync({kind: 'unknown', message: 'the answer was lost'});
  };
  return late;
}
