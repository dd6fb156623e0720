/** Starts the features of a process in the order of their dependencies. */

import type {CatalogueFeature} from '@nutmegproxy/catalogue';
import type {EntryNode, NodeIdentity, Unregister} from '@nutmegproxy/core';
import type {EventLog} from '@nutmegproxy/events';
import type {Membership} from '@nutmegproxy/membership';
import type {ResolvedSettings} from '@nutmegproxy/settings';
import type {Result} from 'neverthrow';

import {
  AdminApi,
  registerCatalogueRoutes,
  registerStatusRoute,
  registerTasksRoute,
  registerTimelineRoutes,
} from '@nutmegproxy/admin';
import {registerCatalogue} from '@nutmegproxy/catalogue';
import {mergeUnregister} from '@nutmegproxy/core';
import {err, ok} from 'neverthrow';

import type {EntrySecrets, ServingPorts, StartFailure} from './EntryProcess.ts';
import type {PlatformConnections} from './PlatformConnections.ts';
import type {WorkFeatures} from './WorkFeatures.ts';

import {splitHostPort} from './HostPort.ts';
import {registerListedStop} from './ListedStop.ts';
import {connectPlatform} from './PlatformConnections.ts';
import {describeCatalogue, describeDirectory, describeMembership} from './StatusSections.ts';
import {registerWork} from './WorkFeatures.ts';

export interface FeatureContext {
  readonly log: EventLog;
  readonly node: EntryNode;
  /** Called when the catalogue lists this VM under `stops`. */
  readonly onListedStop: () => void;
  readonly secrets: EntrySecrets;
  readonly settings: ResolvedSettings;
}

/** The running features of a process. */
export interface Features {
  /** Closes listeners and connections; called at the end of the planned stop. */
  readonly close: () => Promise<void>;
  readonly ports: ServingPorts;
}

function registerRoutes(
  api: AdminApi,
  {log, node}: FeatureContext,
  {directory, mesh}: PlatformConnections,
  catalogue: CatalogueFeature,
  {membership, requests, tasks}: WorkFeatures,
): Unregister {
  return mergeUnregister(
    registerCatalogueRoutes(api, catalogue),
    registerTimelineRoutes(api, node, {log, mesh}),
    registerTasksRoute(api, tasks.listJobs),
    registerStatusRoute(api, node, {
      catalogue: () => describeCatalogue(catalogue),
      membership: () => describeMembership(membership, node, requests),
      peers: () => mesh.peers().map(({identity}) => identity),
      vms: () => describeDirectory(directory),
    }),
  );
}

/** Returns the processes in the membership record of this data centre. */
function listMembers({identity}: EntryNode, membership: Membership | undefined): NodeIdentity[] {
  const members = [...(membership?.allotment()?.members.values() ?? [])];
  return members.map(({incarnation, vm}) => ({...identity, incarnation, vm}));
}

async function listen(
  context: FeatureContext,
  api: AdminApi,
  platform: PlatformConnections,
  {requests}: WorkFeatures,
): Promise<Result<ServingPorts, StartFailure>> {
  const {host, port} = splitHostPort(context.settings.listen.operators);
  const operators = await api.listen(host, port);
  const peers = splitHostPort(platform.mesh.peerAddress).port;
  const callers = await requests.listen();
  return callers.map((address) => ({callers: address.port, operators, peers}));
}

async function compose(context: FeatureContext): Promise<Result<Features, StartFailure>> {
  const {node, onListedStop, secrets, settings} = context;
  const platform = await connectPlatform(context);
  const {directory, mesh, store} = platform;
  const {keyPrefix} = settings.platform;
  const membership: {current?: Membership} = {};
  const members = (): NodeIdentity[] => listMembers(node, membership.current);
  const catalogue = registerCatalogue(node, {directory, keyPrefix, members, mesh, store});
  const work = registerWork(context, platform, catalogue.source);
  membership.current = work.membership;
  const api = new AdminApi(node, secrets.operator.reveal());
  const unregister = mergeUnregister(
    platform.unregister,
    catalogue.unregister,
    work.unregister,
    registerRoutes(api, context, platform, catalogue, work),
    registerListedStop(node, catalogue.source, onListedStop),
  );
  const close = async (): Promise<void> => {
    await api.close();
    unregister();
    await platform.close();
  };
  const ports = await listen(context, api, platform, work);
  if (ports.isErr()) {
    await close();
    return err(ports.error);
  }
  return ok({close, ports: ports.value});
}

/** Starts all features; thrown errors are returned as a `StartFailure`. */
export async function startFeatures(
  context: FeatureContext,
): Promise<Result<Features, StartFailure>> {
  try {
    return await compose(context);
  } catch (error) {
    return err({message: error instanceof Error ? error.message : String(error)});
  }
}
