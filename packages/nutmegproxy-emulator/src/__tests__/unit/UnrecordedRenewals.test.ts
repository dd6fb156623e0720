import type {FleetOwnership, MinionTarget, PollOrder} from '@nutmegproxy/owner';

import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {isWriteOf, waitForRecord} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const {maxFormerLeaseMs: MAX_FORMER_LEASE_MS} = DEFAULT_LEASE_TIMES;

/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
/** Time in milliseconds for which an owner renews leases; longer than a stored expiry lies ahead. */
const RENEWED_FOR_MS = 16_000;
const SLOW_POLL_MS = 100;
const STEP_MS = 250;
const STEP_PAUSE_MS = 50;

const RECOVERY_KEY = `${STATE_PREFIX}recovery`;
const CLOSING_KEY = `${STATE_PREFIX}closing`;

describe('Lease renewals before the record of use is stored', () => {
  let harness: TakeoverHarness;
  let used: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    used = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  async function runLastingTask(
    vm: string,
    isFailing?: (args: readonly unknown[]) => boolean,
  ): Promise<KillableOwner> {
    const first = await harness.startKillable(vm, isFailing);
    await submitJob(harness.store, createStoredJob(1, [createStepShape({longRunning: true})]));
    await waitFor('the task runs', () => used.liveTasks.length === 1);
    const {answeredPolls} = used;
    await waitFor('the run is listed', () => used.answeredPolls > answeredPolls + 1);
    return first;
  }

  function setReachable(isReachable: boolean): void {
    harness.fleet.faults(used.description.id).isUnreachable = !isReachable;
  }

  /** Lets an owner that can't reach the minion store when its lease has expired, and kills it. */
  async function storeExpiry(vm: string): Promise<void> {
    setReachable(false);
    const {kill} = await harness.startKillable(vm);
    await waitForRecord(harness.store, RECOVERY_KEY, (text) => text.includes('"heldUntil"'));
    await kill();
    setReachable(true);
  }

  /** Lets an owner renew the lease until it loses the minion. */
  async function renew({started}: KillableOwner): Promise<void> {
    const {answeredPolls} = used;
    await waitFor('the minion has reported', () => used.answeredPolls > answeredPolls + 1);
    await harness.passTime(started.ownership, RENEWED_FOR_MS, STEP_MS, STEP_PAUSE_MS);
    assert.equal(used.liveTasks.length, 1);
    setReachable(false);
  }

  /** Lets an owner renew the lease and kills it. */
  async function renewAndKill(owner: KillableOwner): Promise<void> {
    await renew(owner);
    await owner.kill();
  }

  /** Checks that the next owner starts the task again, but not while its last run may be live. */
  async function assertRunsAgainOnce(vm: string): Promise<void> {
    const {ownership} = await harness.start(vm);
    await assertRunsAgainUnder(ownership);
  }

  async function assertRunsAgainUnder(ownership: FleetOwnership): Promise<void> {
    const other = harness.addMinion('m2');
    await waitFor('the other minion has reported', () => other.answeredPolls > 0);
    await sleep(SETTLED_MS);
    for (let elapsedMs = 0; elapsedMs < MAX_FORMER_LEASE_MS + 1_000; elapsedMs += STEP_MS) {
      await harness.passTime(ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
      used.advance(harness.clock.monotonic());
      assert.ok(used.liveTasks.length + other.liveTasks.length <= 1, `${elapsedMs} ms`);
    }
    await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
  }

  it('do not let a task run twice when an owner that stored nothing granted them', async () => {
    const first = await runLastingTask('vm-1');
    await first.kill();
    await storeExpiry('vm-2');
    await renewAndKill(
      await harness.startKillable('vm-3', (args) => isWriteOf(RECOVERY_KEY, args)),
    );
    await assertRunsAgainOnce('vm-4');
  });

  it('do not let a task run twice when an owner that stored its first record only granted them', async () => {
    const first = await runLastingTask('vm-1');
    await first.kill();
    await storeExpiry('vm-2');
    // The first record is stored before the minion has reported.
    const poll = harness.fleet.poll.bind(harness.fleet);
    harness.fleet.poll = (target, order) =>
      ResultAsync.fromSafePromise(sleep(SLOW_POLL_MS)).andThen(() => poll(target, order));
    let writes = 0;
    const third = await harness.startKillable('vm-3', (args) => {
      writes += isWriteOf(RECOVERY_KEY, args) ? 1 : 0;
      return writes > 1 && isWriteOf(RECOVERY_KEY, args);
    });
    await renewAndKill(third);
    assert.ok(writes > 1);
    harness.fleet.poll = poll;
    await assertRunsAgainOnce('vm-4');
  });

  it('do not let a task run twice when the account of an earlier owner is stored late', async () => {
    let isDelayed = false;
    const first = await runLastingTask(
      'vm-1',
      (args) => isDelayed && JSON.stringify(args).includes(CLOSING_KEY),
    );
    isDelayed = true;
    await harness.stopAsPlanned(first.started);
    const second = await harness.startKillable('vm-2', (args) => isWriteOf(RECOVERY_KEY, args));
    await renewAndKill(second);
    isDelayed = false;
    await sleep(SETTLED_MS);
    await assertRunsAgainOnce('vm-3');
  });

  it('do not let a task run twice when the owner that granted them ends in order and stores nothing', async () => {
    const first = await runLastingTask('vm-1');
    // It observes when the account of the first owner is stored.
    const third = harness.startWaitingVm('vm-3');
    await harness.stopAsPlanned(first.started);
    await sleep(SETTLED_MS);
    const second = await harness.startKillable(
      'vm-2',
      (args) => isWriteOf(RECOVERY_KEY, args) || isWriteOf(CLOSING_KEY, args),
    );
    await renew(second);
    await harness.stopAsPlanned(second.started);
    third.isAllowed = true;
    await waitFor('the last VM owns the fleet', () => third.ownership !== undefined);
    assert.ok(third.ownership);
    await assertRunsAgainUnder(third.ownership);
  });

  it('do not let a task run twice when the next VM knows when the expiry before them was stored', async () => {
    const first = await runLastingTask('vm-1');
    const last = harness.startWaitingVm('vm-4');
    await first.kill();
    await storeExpiry('vm-2');
    await last.observe();
    await renewAndKill(
      await harness.startKillable('vm-3', (args) => isWriteOf(RECOVERY_KEY, args)),
    );
    last.isAllowed = true;
    await waitFor('the last VM owns the fleet', () => last.ownership !== undefined);
    assert.ok(last.ownership);
    await assertRunsAgainUnder(last.ownership);
  });

  it('are not granted once the expiry of the lease may be stored', async () => {
    const first = await runLastingTask('vm-1');
    await first.kill();
    const poll = harness.fleet.poll.bind(harness.fleet);
    const leases: (number | undefined)[] = [];
    harness.fleet.poll = (target: MinionTarget, order: PollOrder) => {
      leases.push(order.untilMs);
      return poll(target, order);
    };
    const granted = (): number => leases.filter((untilMs) => untilMs !== undefined).length;
    setReachable(false);
    let isFailing = false;
    await harness.startKillable('vm-2', (args) => isFailing && isWriteOf(RECOVERY_KEY, args));
    await waitForRecord(harness.store, RECOVERY_KEY, (text) => text.includes('"heldUntil"'));
    isFailing = true;
    setReachable(true);
    const {answeredPolls} = used;
    await waitFor('the minion has reported', () => used.answeredPolls > answeredPolls + 2);
    assert.equal(granted(), 0);
    isFailing = false;
    await waitFor('its lease is renewed', () => granted() > 0, REACTION_MS);
  });
});
