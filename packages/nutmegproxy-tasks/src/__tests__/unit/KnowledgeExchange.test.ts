import type {EntryId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import {EntryKnowledge} from '@nutmegproxy/placement';
import {describe, it} from 'node:test';

import {registerKnowledge} from '../../KnowledgeExchange.ts';
import {TestBench, until} from '../TestBench.ts';

const DECLARED = {accelerators: 0, cpu: 1, memoryMb: 1};
const ENTRY = brand<EntryId>('digest');

describe('registerKnowledge', () => {
  it('tells linked peers, and gives an overview to one that starts later', async () => {
    const bench = new TestBench();
    const [first, second] = [new EntryKnowledge(), new EntryKnowledge()];
    for (let index = 0; index < 5; index += 1) {
      first.addFirstUsage(ENTRY, 3, 1);
    }
    const [one, two] = [bench.addVm('e1'), bench.addVm('e2')];
    const unregisterFirst = registerKnowledge(one.node, bench.meshOf(one), first);
    const unregisterSecond = registerKnowledge(two.node, bench.meshOf(two), second);
    const reserved = (): number => second.reservation(ENTRY, DECLARED, {...DECLARED, cpu: 16}).cpu;
    await until(() => reserved() === 3, 'the peer reserves what was learned');
    unregisterFirst();
    unregisterSecond();
    bench.close();
  });
});
