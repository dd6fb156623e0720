/** The entry VM's process as features see it: its identity and the registries they attach to. */

import type {Registry} from 'prom-client';

import type {Clock} from './Clock.ts';
import type {CommandBus} from './CommandBus.ts';
import type {EventSink} from './EventSink.ts';
import type {DataCentreId, IncarnationId, RegionId, VmId} from './Ids.ts';

/** Identity of this process; it does not change while the process runs. */
export interface NodeIdentity {
  readonly dataCentre: DataCentreId;
  readonly incarnation: IncarnationId;
  readonly region: RegionId;
  readonly vm: VmId;
}

/** The minimal core that every feature is registered on. */
export interface EntryNode {
  readonly bus: CommandBus;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly identity: NodeIdentity;
  readonly metrics: Registry;
}
