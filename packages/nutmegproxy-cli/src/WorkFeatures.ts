/** The features that serve callers: membership, requests and tasks. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryNode, Unregister} from '@nutmegproxy/core';
import type {Membership} from '@nutmegproxy/membership';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {LoansRegistration, Requests, SlotLender} from '@nutmegproxy/requests';
import type {Tasks} from '@nutmegproxy/tasks';

import {mergeUnregister} from '@nutmegproxy/core';
import {registerMembership, registerSlotLoans} from '@nutmegproxy/membership';
import {EntryKnowledge, LANE_ORDERS, PLACEMENTS} from '@nutmegproxy/placement';
import {registerRequests} from '@nutmegproxy/requests';
import {
  adaptRoute,
  parseOwnerRecord,
  registerKnowledgeExchange,
  registerTasks,
} from '@nutmegproxy/tasks';
import {randomInt} from 'node:crypto';

import type {FeatureContext} from './Features.ts';
import type {PlatformConnections} from './PlatformConnections.ts';

const MAX_SEED = 2 ** 31;

export interface WorkFeatures {
  readonly membership: Membership;
  readonly requests: Requests;
  readonly tasks: Tasks;
  readonly unregister: Unregister;
}

/**
 * Returns a function that registers slot loans. They deduct slots from the requests feature: lent
 * slots when a loan starts, borrowed slots when it ends.
 */
function createLoans(
  node: EntryNode,
  membership: Membership,
  mesh: PeerMesh,
): (lender: SlotLender) => LoansRegistration {
  return (lender) =>
    registerSlotLoans(node, {
      lender,
      membership,
      mesh,
      onLoanExpired: (minion, count) => {
        lender.end(minion, count);
      },
    });
}

/** Registers membership, requests and tasks; callers are served after `requests.listen`. */
export function registerWork(
  context: FeatureContext,
  platform: PlatformConnections,
  catalogue: CatalogueSource,
): WorkFeatures {
  const {node, settings} = context;
  const {departures, directory, mesh, store, workers} = platform;
  const {keyPrefix} = settings.platform;
  const {commitIntervalMs, taskLeaseMs, workerSyncMs} = settings.timings;
  const {outageLimitMs, tenureTtlMs, vouchPeriodMs} = settings.timings;
  const {membership, unregister: unregisterMembership} = registerMembership(node, {
    departures,
    directory,
    mesh,
    peerAddress: mesh.peerAddress,
    periods: {outageLimitMs, tenureTtlMs, vouchPeriodMs},
    prefix: keyPrefix,
    store,
  });
  const requests = registerRequests(node, {
    catalogue,
    directory,
    membership,
    registerLoans: createLoans(node, membership, mesh),
    seed: randomInt(MAX_SEED),
    settings,
    store,
  });
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
      tasks.unregister,
      registerKnowledgeExchange(node, mesh, knowledge),
    ),
  };
}
