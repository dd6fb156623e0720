/** Dependencies and state that the components of membership share. */

import type {EntryNode, Instant} from '@nutmegproxy/core';
import type {TargetedMesh} from '@nutmegproxy/peers';
import type {Vm} from '@nutmegproxy/schema';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDepartures} from '@nutmegproxy/workers';

import type {RecordStore} from './RecordStore.ts';
import type {RecordView} from './RecordView.ts';
import type {TenurePeriods, TenureState} from './TenureState.ts';
import type {VouchRegistry} from './VouchRegistry.ts';

/** Periods that must be equal in all processes of a data centre. */
export interface MembershipPeriods extends TenurePeriods {
  readonly loanTermMs: number;
  readonly requestLimitMs: number;
}

/** Source of the known VMs. */
export interface VmSource {
  vms(): readonly Vm[];
}

export interface MembershipServices {
  readonly departures: VmDepartures;
  readonly directory: VmSource;
  readonly mesh: TargetedMesh;
  readonly node: EntryNode;
  readonly peerAddress: string;
  readonly periods: MembershipPeriods;
  readonly store: PlatformStore;
}

/** State that the components of membership share. */
export interface MembershipContext extends MembershipServices {
  readonly now: () => Instant;
  readonly recordStore: RecordStore;
  readonly state: TenureState;
  readonly view: RecordView;
  readonly vouchRegistry: VouchRegistry;
}
