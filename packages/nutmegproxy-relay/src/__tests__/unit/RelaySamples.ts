/** Entry VMs and minions for the tests of this package. */

import type {DataCentreId, MinionId, VmId} from '@nutmegproxy/core';
import type {MinionTarget} from '@nutmegproxy/owner';

import {brand} from '@nutmegproxy/core';

import type {RelayCandidate} from '../../RelayRoutes.ts';

export function createCandidate(
  name: string,
  change: Partial<RelayCandidate> = {},
): RelayCandidate {
  return {
    cores: 1,
    dataCentre: brand<DataCentreId>('dc-a'),
    relayAddress: `${name}:1`,
    vm: brand<VmId>(name),
    ...change,
  };
}

export function createTarget(name: string, dataCentre = 'dc-a'): MinionTarget {
  return {
    address: `${name}:1`,
    dataCentre: brand<DataCentreId>(dataCentre),
    id: brand<MinionId>(name),
  };
}
