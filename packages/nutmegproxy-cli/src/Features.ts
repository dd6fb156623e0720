/** Composes the features of a process in the order in which they build on each other. */

import type {EntryNode} from '@nutmegproxy/core';
import type {EventLog} from '@nutmegproxy/events';
import type {ResolvedSettings} from '@nutmegproxy/settings';
import type {Result} from 'neverthrow';

import {AdminApi, registerStatusRoute, registerTimelineRoutes} from '@nutmegproxy/admin';
import {mergeUnregister} from '@nutmegproxy/core';
import {WsPeerMesh} from '@nutmegproxy/peers';
import {err, ok} from 'neverthrow';

import type {EntrySecrets, ServingPorts, StartFailure} from './EntryProcess.ts';

import {splitHostPort} from './HostPort.ts';

export interface FeatureContext {
  readonly log: EventLog;
  readonly node: EntryNode;
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
  const api = new AdminApi(node, secrets.operator.reveal());
  const unregister = mergeUnregister(
    registerTimelineRoutes(api, node, {log, mesh}),
    registerStatusRoute(api, node, {
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
    },
    ports: {callers: 0, operators, peers: splitHostPort(mesh.peerAddress).port},
  };
}

/** Starts all features. */
export function startFeatures(context: FeatureContext): Promise<Result<Features, StartFailure>> {
  return attempt(() => compose(context));
}
