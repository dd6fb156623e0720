import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EmulatedFleet} from '../../EmulatedFleet.ts';
import {EmulatedMinion} from '../../EmulatedMinion.ts';
import {
  createMinionDescription,
  createStepShape,
  createStoredJob,
  startOwner,
  submitJob,
  waitFor,
} from './JobSamples.ts';

describe('A draining minion', () => {
  it('loses its long-running tasks at once, not only when its poll returns', async () => {
    const fleet = new EmulatedFleet(SYSTEM_CLOCK);
    const store = new MemoryStore();
    const draining = new EmulatedMinion(createMinionDescription('m1'), () => ({
      durationMs: Infinity,
      outcome: 'done',
    }));
    fleet.add(draining);
    const {owner} = await startOwner(SYSTEM_CLOCK, store, fleet);
    try {
      await submitJob(store, createStoredJob(1, [createStepShape({longRunning: true})]));
      await waitFor('the task runs', () => draining.liveTasks.length === 1);
      fleet.maxPollWaitMs = 10_000;
      // The poll that began with the former wait returns first.
      await new Promise((resolve) => setTimeout(resolve, 100));
      const {answeredPolls} = draining;
      draining.description = {...draining.description, isDraining: true};
      fleet.add(draining);
      await waitFor('the run is stopped', () => draining.records[0]?.outcome === 'stopped');
      assert.equal(draining.answeredPolls, answeredPolls);
    } finally {
      owner.stop('end of test');
      await store.close();
    }
  });
});
