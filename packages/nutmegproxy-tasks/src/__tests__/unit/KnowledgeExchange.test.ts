import type {EntryId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import {EntryKnowledge} from '@nutmegproxy/placement';
import {describe, it} from 'node:test';

import {registerKnowledgeExchange} from '../../KnowledgeExchange.ts';
import {TestCluster, waitUntil} from '../TestCluster.ts';

const DECLARED = {accelerators: 0, cpu: 1, memoryMb: 1};
const ENTRY = brand<EntryId>('digest');

describe('registerKnowledgeExchange', () => {
  it('sends updates to linked peers and an overview to a peer that starts later', async () => {
    const cluster = new TestCluster();
    const [first, second] = [new EntryKnowledge(), new EntryKnowledge()];
    for (let index = 0; index < 5; index += 1) {
      first.addFirstUsage(ENTRY, 3, 1);
    }
    const [one, two] = [cluster.addVm('e1'), cluster.addVm('e2')];
    const unregisterFirst = registerKnowledgeExchange(one.node, cluster.createMesh(one), first);
    const unregisterSecond = registerKnowledgeExchange(two.node, cluster.createMesh(two), second);
    const reserved = (): number => second.reservation(ENTRY, DECLARED, {...DECLARED, cpu: 16}).cpu;
    await waitUntil(() => reserved() === 3, 'the peer reserves what was learned');
    unregisterFirst();
    unregisterSecond();
    cluster.close();
  });
});
