/** The leases of the harnesses' stores don't end because a test process got no turn. */

import {OWNER_KEY} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {getKey} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CrashHarness} from './CrashHarness.ts';
import {waitFor} from './JobSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const BLOCKED_MS = DEFAULT_LEASE_TIMES.ownershipTtlMs + 300;
/** Time in milliseconds in which renewals that are overdue are sent. */
const SETTLED_MS = 500;

/** Gives this process no turn for longer than the lease of an owner. */
async function block(): Promise<void> {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MS);
  await sleep(SETTLED_MS);
}

async function isOwned({store}: CrashHarness | TakeoverHarness): Promise<boolean> {
  return (await getKey(store, OWNER_KEY))._unsafeUnwrap() !== undefined;
}

describe('The lease of an owner in a test process that gets no turn for longer', () => {
  it('does not end in a test of takeovers, whose owner still stores what changes', async () => {
    const harness = new TakeoverHarness();
    try {
      const minion = harness.addMinion('m1');
      const {kill} = await harness.startKillable('vm-1');
      await block();
      assert.equal(await isOwned(harness), true);
      await harness.runLastingTask(minion);
      await harness.cutOff(minion);
      await kill();
      assert.equal(await isOwned(harness), false);
    } finally {
      await harness.close();
    }
  });

  it('does not end in a test of takeovers while a VM that waited for the ownership has it', async () => {
    const harness = new TakeoverHarness();
    try {
      const vm = harness.startWaitingVm('vm-1');
      vm.isAllowed = true;
      await waitFor('the VM owns the fleet', () => vm.ownership !== undefined);
      const {ownership} = vm;
      await block();
      assert.ok(vm.ownership === ownership, 'it was lost and acquired anew');
      assert.equal(await isOwned(harness), true);
      await vm.kill(0);
      assert.equal(await isOwned(harness), false);
    } finally {
      await harness.close();
    }
  });

  it('does not end in a test of crashes', async () => {
    const harness = new CrashHarness();
    try {
      const kill = await harness.start('vm-1');
      await block();
      assert.equal(await isOwned(harness), true);
      await kill();
      assert.equal(await isOwned(harness), false);
    } finally {
      await harness.close();
    }
  });
});
