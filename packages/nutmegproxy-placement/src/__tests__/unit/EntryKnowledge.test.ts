import type {EntryId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import {validateKnowledgeSummary} from '@nutmegproxy/schema';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EntryKnowledge} from '../../EntryKnowledge.ts';
import {LearnedPlacement} from '../../LearnedPlacement.ts';
import {at, makeRequest, makeWorker, showSizes, SIXTEEN_CORES} from './PlacementFixtures.ts';

const ALERT = brand<EntryId>('alert');
const NOISY = brand<EntryId>('noisy');
const DECLARED = {accelerators: 0, cpu: 2, memoryMb: 1000};

function learn(knowledge: EntryKnowledge, cpu: number): void {
  for (let index = 0; index < 10; index += 1) {
    knowledge.addFirstUsage(ALERT, cpu, 1000);
    knowledge.addRunTime(ALERT, 5000);
    knowledge.addOutcomes(ALERT, {failures: index % 2, runs: 1}, at(0));
    knowledge.interference.learn(ALERT, [{entry: NOISY, share: 0.5}], 0.6, at(0));
  }
}

describe('EntryKnowledge', () => {
  it('is shared by cells: one reserves by the sizes that another has learned', () => {
    const knowledge = new EntryKnowledge();
    const [first, second] = [new LearnedPlacement(knowledge), new LearnedPlacement(knowledge)];
    showSizes(first, makeRequest('s'), at(0));
    second.setWorker(makeWorker('w1'));
    const decision = second.decide(makeRequest('a'), at(0));
    assert.equal(decision.kind === 'placed' && decision.reserved.cpu, 1);
  });

  it('reaches a peer by summaries, which are sent only once', () => {
    const [here, there] = [new EntryKnowledge(), new EntryKnowledge()];
    learn(here, 6);
    const summary = here.takeUnsent();
    assert.ok(summary && validateKnowledgeSummary(summary));
    there.merge(summary, at(0));
    const reserved = there.reservation(ALERT, DECLARED, SIXTEEN_CORES);
    assert.deepEqual(reserved, here.reservation(ALERT, DECLARED, SIXTEEN_CORES));
    assert.ok(Math.abs(there.runTimeMs(ALERT, 1) - 5000) < 1);
    assert.deepEqual(there.outcomes(ALERT, at(1)), here.outcomes(ALERT, at(1)));
    const by = {entry: NOISY, share: 0.5};
    const [own, received] = [here, there].map(
      (each) => each.interference.predict(ALERT, by, at(1)).mean,
    );
    assert.ok(
      Math.abs((own ?? 0) - (received ?? 9)) < 0.05,
      `${String(own)} and ${String(received)}`,
    );
    assert.equal(here.takeUnsent(), undefined);
    assert.equal(there.takeUnsent(), undefined);
  });

  it('never reserves less than the declared size, whatever a peer reports', () => {
    const knowledge = new EntryKnowledge();
    const none = {count: 1_000_000, largest: 0, mean: 0, variance: 0};
    const entry = {cpu: none, entry: ALERT, failures: 0, logRunTime: none, memoryMb: none, runs: 0};
    knowledge.merge({entries: [entry], pairs: []}, at(0));
    assert.deepEqual(knowledge.reservation(ALERT, DECLARED, SIXTEEN_CORES), DECLARED);
    learn(knowledge, 6);
    const {cpu} = knowledge.reservation(ALERT, DECLARED, SIXTEEN_CORES);
    assert.ok(cpu > 3, `own reports outweigh the summary: ${cpu}`);
  });

  it('limits the size of a summary and keeps the rest for the next one', () => {
    const knowledge = new EntryKnowledge();
    for (let index = 0; index < 100; index += 1) {
      knowledge.addFirstUsage(brand<EntryId>(`e${index}`), 1, 1);
    }
    assert.equal(knowledge.takeUnsent()?.entries.length, 64);
    assert.equal(knowledge.takeUnsent()?.entries.length, 36);
    assert.equal(knowledge.recentSummary(at(0)).entries.length, 64);
  });
});
