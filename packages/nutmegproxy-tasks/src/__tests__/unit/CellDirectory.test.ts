import type {Instant, NodeIdentity} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CellDirectory} from '../../CellDirectory.ts';

const NOW = 1000 as Instant;
const OWNER: NodeIdentity = {
  dataCentre: brand('dc1'),
  incarnation: brand('e1.1'),
  region: brand('r1'),
  vm: brand('e1'),
};

function summaryOf(cell: string, queued: number, queuedCpu: number) {
  return {
    cell,
    epoch: 1,
    freeCpu: 40,
    largest: {accelerators: 0, cpu: 16, memoryMb: 1000},
    queued,
    queuedCpu,
  };
}

describe('CellDirectory', () => {
  it('orders cells by free processors, not by the number of tasks', () => {
    const directory = new CellDirectory();
    directory.update(OWNER, [summaryOf('large', 5, 40), summaryOf('small', 20, 10)], NOW);
    const [first] = directory.listCandidates(OWNER.dataCentre, NOW);
    assert.equal(first?.cell, 'small');
    assert.ok(first);
    directory.addAssignedCpu(first, 35);
    assert.equal(directory.listCandidates(OWNER.dataCentre, NOW)[0]?.cell, 'large');
  });
});
