/** Passes what placement has learned about entries between entry VMs. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {EntryKnowledge} from '@nutmegproxy/placement';

import {mergeUnregister} from '@nutmegproxy/core';
import {validateKnowledgeSummary} from '@nutmegproxy/schema';

import {wait} from './AsyncUtils.ts';
import {KNOWLEDGE_INTERVAL_MS, PEER_TIMEOUT_MS} from './TasksConstants.ts';

const LEARNED_MESSAGE = 'placement/learned';
const OVERVIEW_MESSAGE = 'placement/overview';

/**
 * Tells peers what was learned here, one bounded message an interval, and asks one peer for an
 * overview when the process is new. A lost message costs knowledge, and nothing else.
 *
 * @example
 * const unregister = registerKnowledge(node, mesh, knowledge);
 */
export function registerKnowledge(
  node: EntryNode,
  mesh: PeerMesh,
  knowledge: EntryKnowledge,
): Unregister {
  let running = true;
  const run = async (): Promise<void> => {
    let asked = false;
    while (running) {
      asked ||= await askOverview(node, mesh, knowledge);
      tell(mesh, knowledge);
      await wait(KNOWLEDGE_INTERVAL_MS);
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
      running = false;
    },
  );
  void run();
  return unregister;
}

/** Asks the peer that is linked first; false while there is none that answers. */
async function askOverview(
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
  const answer = await mesh.request(vm, incarnation, message, PEER_TIMEOUT_MS);
  if (answer.isErr() || !validateKnowledgeSummary(answer.value)) {
    return false;
  }
  knowledge.merge(answer.value, node.clock.monotonic());
  return true;
}

function tell(mesh: PeerMesh, knowledge: EntryKnowledge): void {
  // What nobody hears is kept until there is a peer.
  const summary = mesh.peers().length > 0 ? knowledge.takeUnsent() : undefined;
  if (summary) {
    mesh.broadcast({body: summary, type: LEARNED_MESSAGE});
  }
}
