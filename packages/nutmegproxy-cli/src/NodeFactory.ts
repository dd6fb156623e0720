/** Creates the node on which all features of a process are registered. */

import type {DataCentreId, EntryNode, IncarnationId, RegionId, VmId} from '@nutmegproxy/core';
import type {ResolvedSettings} from '@nutmegproxy/settings';

import {brand, CommandBus, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {EventLog} from '@nutmegproxy/events';
import {randomUUID} from 'node:crypto';
import {collectDefaultMetrics, Registry} from 'prom-client';

/** A node and the log of its events. */
export interface LoggedNode {
  readonly log: EventLog;
  readonly node: EntryNode;
}

/** Creates a node with a new incarnation. */
export function createNode(settings: ResolvedSettings): LoggedNode {
  const identity = {
    dataCentre: brand<DataCentreId>(settings.dataCentre),
    incarnation: brand<IncarnationId>(randomUUID()),
    region: brand<RegionId>(settings.region),
    vm: brand<VmId>(settings.vm),
  };
  const {level, ringSize} = settings.log;
  const log = new EventLog({clock: SYSTEM_CLOCK, identity, level, ringSize});
  const metrics = new Registry();
  collectDefaultMetrics({register: metrics});
  return {
    log,
    node: {bus: new CommandBus(), clock: SYSTEM_CLOCK, events: log, identity, metrics},
  };
}
