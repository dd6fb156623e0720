/** Exchanges what placement has learned about entries between entry VMs. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {EntryKnowledge} from '@nutmegproxy/placement';

import {mergeUnregister} from '@nutmegproxy/core';
import {validateKnowledgeSummary} from '@nutmegproxy/schema';

import {sleep} from './AsyncUtils.ts';
import {KNOWLEDGE_INTERVAL_MS, PEER_TIMEOUT_MS} from './TasksConstants.ts';

const LEARNED_MESSAGE = 'placement/learned';
const OVERVIEW_MESSAGE = 'placement/overview';

/**
 * Broadcasts what this VM learned to its peers, in one bounded message per interval, and requests
 * an overview from one peer after the process starts. Peers lack what a lost message contained; it
 * has no other effect.
 *
 * @example
 * const unregister = registerKnowledgeExchange(node, mesh, knowledge);
 */
export function registerKnowledgeExchange(
  node: EntryNode,
  mesh: PeerMesh,
  knowledge: EntryKnowledge,
): Unregister {
  let isRunning = true;
  const run = async (): Promise<void> => {
    let hasOverview = false;
    while (isRunning) {
      hasOverview ||= await requestOverview(node, mesh, knowledge);
      broadcastLearned(mesh, knowledge);
      await sleep(KNOWLEDGE_INTERVAL_MS);
    }
  };
  const unregister = mergeUnregister(
    mesh.registerHandler(OVERVIEW_MESSAGE, (_body, _from, now) => knowledge.recentSummary(now)),
    mesh.registerHandler(
      LEARNED_MESSAGE,
      (body, _from, now) => {
        if (validateKnowledgeSummary(body)) {
          knowledge.merge(body, now);
        }
        return undefined;
      },
      validateKnowledgeSummary,
    ),
    () => {
      isRunning = false;
    },
  );
  void run();
  return unregister;
}

/** Requests an overview from the first linked peer; returns whether it was received. */
async function requestOverview(
  node: EntryNode,
  mesh: PeerMesh,
  knowledge: EntryKnowledge,
): Promise<boolean> {
  const [peer] = mesh.peers();
  if (!peer) {
    return false;
  }
  const {incarnation, vm} = peer.identity;
  const message = {body: {}, type: OVERVIEW_MESSAGE};
  const response = await mesh.request(vm, incarnation, message, PEER_TIMEOUT_MS);
  if (response.isErr() || !validateKnowledgeSummary(response.value)) {
    return false;
  }
  knowledge.merge(response.value, node.clock.monotonic());
  return true;
}

function broadcastLearned(mesh: PeerMesh, knowledge: EntryKnowledge): void {
  // Without a peer, what was learned is kept until there is one.
  const summary = mesh.peers().length > 0 ? knowledge.takeUnsent() : undefined;
  if (summary) {
    mesh.broadcast({body: summary, type: LEARNED_MESSAGE});
  }
}
