/** Composes the features of a process in the order in which they build on each other. */

import type {EntryNode} from '@nutmegproxy/core';
import type {EventLog} from '@nutmegproxy/events';
import type {ResolvedSettings} from '@nutmegproxy/settings';
import type {Result} from 'neverthrow';

import {
  AdminApi,
  registerCatalogueRoutes,
  registerStatusRoute,
  registerTimelineRoutes,
} from '@nutmegproxy/admin';
import {registerCatalogue} from '@nutmegproxy/catalogue';
import {mergeUnregister} from '@nutmegproxy/core';
import {WsPeerMesh} from '@nutmegproxy/peers';
import {EtcdStore} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';

import type {EntrySecrets, ServingPorts, StartFailure} from './EntryProcess.ts';

import {splitHostPort} from './HostPort.ts';
import {registerListedStop} from './ListedStop.ts';
import {describeCatalogue} from './StatusSections.ts';

export interface FeatureContext {
  readonly log: EventLog;
  readonly node: EntryNode;
  /** Called when the catalogue lists this VM to stop. */
  readonly onListedStop: () => void;
  readonly secrets: EntrySecrets;
  readonly settings: ResolvedSettings;
}

/** All features of a process, running. */
export interface Features {
  /** Closes listeners and connections; after the planned stop. */
  readonly close: () => Promise<void>;
  readonly ports: ServingPorts;
}

async function attempt<Value>(work: () => Promise<Value>): Promise<Result<Value, StartFailure>> {
  try {
    return ok(await work());
  } catch (error) {
    return err({message: error instanceof Error ? error.message : String(error)});
  }
}

async function compose(context: FeatureContext): Promise<Features> {
  const {log, node, secrets, settings} = context;
  const mesh = new WsPeerMesh(node, {
    listen: settings.listen.peers,
    secret: secrets.peer.reveal(),
    seeds: settings.seeds,
  });
  await mesh.start();
  const {keyPrefix, store: baseUrls} = settings.platform;
  const store = new EtcdStore({
    baseUrls,
    clock: node.clock,
    events: node.events,
    metrics: node.metrics,
    timeoutMs: settings.timings.storeTimeoutMs,
  });
  const catalogue = registerCatalogue(node, {keyPrefix, mesh, store});
  const api = new AdminApi(node, secrets.operator.reveal());
  const unregister = mergeUnregister(
    catalogue.unregister,
    registerListedStop(node, catalogue.source, context.onListedStop),
    registerCatalogueRoutes(api, catalogue),
    registerTimelineRoutes(api, node, {log, mesh}),
    registerStatusRoute(api, node, {
      catalogue: () => describeCatalogue(catalogue.source),
      peers: () => mesh.peers().map(({identity}) => identity),
    }),
  );
  const {host, port} = splitHostPort(settings.listen.operators);
  const operators = await api.listen(host, port);
  return {
    close: async () => {
      await api.close();
      unregister();
      await mesh.stop();
      await store.close();
    },
    ports: {callers: 0, operators, peers: splitHostPort(mesh.peerAddress).port},
  };
}

/** Starts all features. */
export function startFeatures(context: FeatureContext): Promise<Result<Features, StartFailure>> {
  return attempt(() => compose(context));
}
