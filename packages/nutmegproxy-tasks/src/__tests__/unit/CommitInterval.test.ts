import type {Vm} from '@nutmegproxy/schema';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {shareIntervalMs} from '../../CommitInterval.ts';
import {COMMITS_PER_SECOND_OF_ALL_VMS} from '../../TasksConstants.ts';

function listOf(count: number, role: Vm['role']): readonly Vm[] {
  return Array.from({length: count}, (_, index) => ({
    address: '127.0.0.1:1',
    dataCentre: 'dc',
    id: `${role}-${index}`,
    role,
    state: 'live',
  }));
}

describe('the commit interval', () => {
  it('keeps all listed entry VMs within the budget, also those without a link', () => {
    const vms = [...listOf(81, 'entry'), ...listOf(10, 'worker')];
    const commitsPerSecond = (81 * 1000) / shareIntervalMs(24, vms);
    assert.ok(commitsPerSecond <= COMMITS_PER_SECOND_OF_ALL_VMS + 1e-9);
  });

  it('counts linked VMs while the list names none', () => {
    assert.equal(shareIntervalMs(4, listOf(3, 'worker')), 20);
  });
});
