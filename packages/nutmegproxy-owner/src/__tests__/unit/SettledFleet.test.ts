import type {Instant} from '@nutmegproxy/core';
import type {Run} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {isSettled} from '../../SettledFleet.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const NOW = 0 as Instant;

describe('isSettled', () => {
  let fleet: Fleet;
  let minion: MinionState;
  let run: Run;

  beforeEach(() => {
    fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    fleet.minions.set(minion.id, minion);
    const step = createStep(1, {longRunning: true});
    fleet.jobs.set(step.job.id, step.job);
    run = fleet.startRun(step, 0, minion, NOW);
    run.phase = 'running';
  });

  it('is true while runs go on', () => {
    assert.ok(isSettled(fleet));
  });

  it('is false until recovery is complete', () => {
    fleet.recoveryRevision = 1;
    assert.ok(!isSettled(fleet));
  });

  it('is false until a minion has listed the stop that was ordered', () => {
    fleet.stopRun(run, 'evacuated');
    assert.ok(!isSettled(fleet));
    fleet.finishRun(run, 'stopped', undefined, NOW);
    assert.ok(isSettled(fleet));
  });

  it('does not wait for a minion that does not respond or is not listed', () => {
    fleet.stopRun(run, 'evacuated');
    minion.missedCalls = 1;
    assert.ok(isSettled(fleet));
    minion.missedCalls = 0;
    minion.unlistedSince = NOW;
    assert.ok(isSettled(fleet));
  });
});
