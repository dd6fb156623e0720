/** Connections of a process to the platform and to other entry VMs. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDepartures, VmDirectory, WorkerClient} from '@nutmegproxy/workers';

import {WsPeerMesh} from '@nutmegproxy/peers';
import {EtcdStore} from '@nutmegproxy/store';
import {HttpVmList, HttpWorkerClient, registerVmDirectory} from '@nutmegproxy/workers';

import type {FeatureContext} from './Features.ts';

export interface PlatformConnections {
  readonly close: () => Promise<void>;
  readonly departures: VmDepartures;
  readonly directory: VmDirectory;
  readonly mesh: WsPeerMesh;
  readonly store: PlatformStore;
  readonly unregister: Unregister;
  readonly workers: WorkerClient;
}

function createStore(node: EntryNode, {settings}: FeatureContext): PlatformStore {
  return new EtcdStore({
    baseUrls: settings.platform.store,
    clock: node.clock,
    events: node.events,
    metrics: node.metrics,
    timeoutMs: settings.timings.storeTimeoutMs,
  });
}

/** Listens for peers and connects to the platform; rejects if the address cannot be bound. */
export async function connectPlatform(context: FeatureContext): Promise<PlatformConnections> {
  const {node, secrets, settings} = context;
  const mesh = new WsPeerMesh(node, {
    listen: settings.listen.peers,
    secret: secrets.peer.reveal(),
    seeds: settings.seeds,
  });
  await mesh.start();
  const store = createStore(node, context);
  const vmList = new HttpVmList(settings.platform.vmList);
  const workers = new HttpWorkerClient();
  const {departures, directory, unregister} = registerVmDirectory(node, {
    mesh,
    pollMs: settings.timings.vmListPollMs,
    vmList,
  });
  return {
    close: async () => {
      await mesh.stop();
      await Promise.all([store.close(), vmList.close(), workers.close()]);
    },
    departures,
    directory,
    mesh,
    store,
    unregister,
    workers,
  };
}
