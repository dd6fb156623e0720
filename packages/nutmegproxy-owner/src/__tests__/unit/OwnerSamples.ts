/** Helpers for the tests of the owner's records. */

import type {Instant, WallTime} from '@nutmegproxy/core';
import type {LeaseId, PlatformStore} from '@nutmegproxy/store';

import {put} from '@nutmegproxy/store';
import {errAsync} from 'neverthrow';

import type {OwnershipToken} from '../../MinionOrders.ts';

import {FleetOwnership} from '../../FleetOwnership.ts';
import {OWNER_KEY} from '../../OwnerElection.ts';

/** Waits until the store has responded. */
export async function waitForStore(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 20));
}

/** Acquires the ownership in a store, without a lease. */
export async function acquireOwnership(store: PlatformStore): Promise<FleetOwnership> {
  const token = (await put(store, OWNER_KEY, Buffer.from('vm')))._unsafeUnwrap() as OwnershipToken;
  return new FleetOwnership({lease: '1' as LeaseId, term: 0, token}, 0 as Instant, 0 as WallTime);
}

/** A write without a response that has not been carried out yet. */
export interface DelayedWrite {
  /** Carries the write out now if its conditions still hold. */
  readonly arrive: () => Promise<void>;
}

/** Delays the next write of a store, which gets no response, until `arrive` is called. */
export function delayNextWrite(store: PlatformStore): DelayedWrite[] {
  const late: DelayedWrite[] = [];
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
