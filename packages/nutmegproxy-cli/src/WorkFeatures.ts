/** The features that serve callers: membership, requests and tasks. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {Unregister} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {Requests} from '@nutmegproxy/requests';
import type {Tasks} from '@nutmegproxy/tasks';

import {mergeUnregister} from '@nutmegproxy/core';
import {registerMembership, registerSlotLoans} from '@nutmegproxy/membership';
import {EntryKnowledge, LANE_ORDERS, PLACEMENTS} from '@nutmegproxy/placement';
import {registerRequests} from '@nutmegproxy/requests';
import {adaptRoute, parseOwnerRecord, registerKnowledge, registerTasks} from '@nutmegproxy/tasks';
import {randomInt} from 'node:crypto';

import type {FeatureContext} from './Features.ts';
import type {PlatformConnections} from './PlatformConnections.ts';

import {LateLoans} from './LateLoans.ts';

const MAX_SEED = 2 ** 31;

export interface WorkFeatures {
  readonly membership: Membership;
  readonly requests: Requests;
  readonly tasks: Tasks;
  readonly unregister: Unregister;
}

/** Registers membership, requests and tasks; callers are served once `listen` is called. */
export function registerWork(
  context: FeatureContext,
  platform: PlatformConnections,
  catalogue: CatalogueSource,
): WorkFeatures {
  const {node, settings} = context;
  const {directory, mesh, store, workers} = platform;
  const {keyPrefix} = settings.platform;
  const {commitIntervalMs, taskLeaseMs, tenureTtlMs, workerSyncMs} = settings.timings;
  const {membership, unregister: unregisterMembership} = registerMembership(node, {
    directory,
    mesh,
    peerAddress: mesh.peerAddress,
    periods: {tenureTtlMs},
    prefix: keyPrefix,
    store,
  });
  const lateLoans = new LateLoans();
  const requests = registerRequests(node, {
    catalogue,
    directory,
    loans: lateLoans,
    membership,
    seed: randomInt(MAX_SEED),
    settings,
    store,
  });
  const {loans, unregister: unregisterLoans} = registerSlotLoans(node, {
    lender: requests.lender,
    membership,
    mesh,
    onEnded: (minion, count) => {
      requests.lender.end(minion, count);
    },
  });
  lateLoans.attach(loans);
  const placement = PLACEMENTS[settings.policies.placement];
  const knowledge = new EntryKnowledge();
  const tasks = registerTasks(node, {
    catalogue,
    commitIntervalMs,
    createPlacement: () => placement(knowledge),
    directory,
    keyPrefix,
    laneOrder: LANE_ORDERS[settings.policies.laneOrder],
    membership,
    mesh,
    parseOwner: parseOwnerRecord,
    registerRoute: (prefix, handler) => requests.registerCallerRoute(prefix, adaptRoute(handler)),
    store,
    timings: {leaseMs: taskLeaseMs, syncMs: workerSyncMs},
    workers,
  });
  return {
    membership,
    requests,
    tasks,
    unregister: mergeUnregister(
      unregisterMembership,
      requests.unregister,
      unregisterLoans,
      tasks.unregister,
      registerKnowledge(node, mesh, knowledge),
    ),
  };
}
