import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {waitFor} from './JobSamples.ts';
import {TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a lasting task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Longest time in milliseconds for which a minion's lease lasts after the last call that it accepted. */
const LEASE_MS = 8_000;
const STEP_MS = 100;

describe('A minion that rejects polls as unhealthy for longer than its lease', () => {
  let harness: TakeoverHarness;

  beforeEach(() => {
    harness = new TakeoverHarness();
  });

  afterEach(async () => {
    await harness.close();
  });

  // Guards against runs that count as live on a lease that the minion has not accepted.
  it('does not hold its lasting task, which runs elsewhere once its lease has expired', async () => {
    const minion = harness.addMinion('m1');
    const {ownership} = await harness.start('vm-1');
    await harness.runLastingTask(minion);
    const other = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 2);
    harness.fleet.faults(minion.description.id).rejection = {
      clockMs: undefined,
      kind: 'unhealthy',
      message: 'status 503',
    };
    await harness.passTime(ownership, LEASE_MS + RESTART_DEADLINE_MS, STEP_MS, STEP_MS / 4);
    minion.advance(harness.clock.monotonic());
    const [former] = minion.records;
    const [later] = other.records;
    assert.ok(former?.endedAtMs !== undefined && later !== undefined, 'no second run');
    assert.ok(later.startedAtMs >= former.endedAtMs, 'two runs at once');
    const idleMs = later.startedAtMs - former.endedAtMs;
    assert.ok(idleMs <= RESTART_DEADLINE_MS, `idle for ${idleMs} ms`);
  });
});
