import type {Vm} from '@nutmegproxy/schema';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {getMinCommitIntervalMs} from '../../CommitInterval.ts';
import {MAX_TOTAL_COMMITS_PER_SECOND} from '../../TasksConstants.ts';

function createVms(count: number, role: Vm['role']): readonly Vm[] {
  return Array.from({length: count}, (_, index) => ({
    address: '127.0.0.1:1',
    dataCentre: 'dc',
    id: `${role}-${index}`,
    role,
    state: 'live',
  }));
}

describe('commit interval', () => {
  it('keeps all listed entry VMs within the total commit rate, including unlinked ones', () => {
    const vms = [...createVms(81, 'entry'), ...createVms(10, 'worker')];
    const commitsPerSecond = (81 * 1000) / getMinCommitIntervalMs(24, vms);
    assert.ok(commitsPerSecond <= MAX_TOTAL_COMMITS_PER_SECOND + 1e-9);
  });

  it('counts linked VMs while the list contains no entry VM', () => {
    assert.equal(getMinCommitIntervalMs(4, createVms(3, 'worker')), 20);
  });
});
