/** What owners count on where the longest lease that a minion accepts is not that of the first sites. */

import type {MinionId} from '@nutmegproxy/core';
import type {LeaseTimes} from '@nutmegproxy/scheduling';

import {brand, DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES, deriveLeaseTimes} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {LeaseBoundsCase, OwnerEnd} from './LeaseBoundsCase.ts';

import {cutOff} from './FleetSamples.ts';
import {createStepShape, createStoredJob, submitJob, waitFor} from './JobSamples.ts';
import {OWNERSHIP_TTL_MS} from './LastingTaskScenario.ts';
import {ENDS, play} from './LeaseBoundsCase.ts';
import {disconnect, waitForRoster} from './StoreSamples.ts';
import {sleep} from './TakeoverHarness.ts';

const SHORT_LEASE_MS = 6_000;
const LONG_LEASE_MS = 20_000;
/** Usual lease in milliseconds of an owner that assumes 10 s: work of a lost minion can't run again before it ends. */
const ASSUMED_LEASE_MS = DEFAULT_LEASE_TIMES.minionLeaseMs;
/** Time in real milliseconds after which a minion carries out a start that it has not responded to. */
const START_DELAY_MS = 1_500;
/** Time in milliseconds after which no lease lasts that a minion accepts, however late it was granted. */
const SETTLED_MS = 500;
const LONGEST_WAIT_MS = 35_000;
const REACTION_MS = 5_000;
/** Each of them waits most of the time. */
const CONCURRENT_TESTS = 9;

function deriveTimes(maxMinionLeaseMs: number): LeaseTimes {
  return deriveLeaseTimes({...DEFAULT_PLATFORM_BOUNDS, maxMinionLeaseMs});
}

const DERIVED_TIMES = deriveTimes(SHORT_LEASE_MS);
const LONG_TIMES = deriveTimes(LONG_LEASE_MS);

/** A start that its minion has not responded to reaches a later incarnation as its owner ends. */
async function playLaterIncarnation(
  test: LeaseBoundsCase,
  end: OwnerEnd,
  nextTimes: LeaseTimes,
): Promise<void> {
  const {harness} = test;
  const minion = test.addMinion('m1', LONG_LEASE_MS);
  const first = await harness.startKillable('vm-1');
  await harness.runLastingTask(minion);
  harness.leaseTimes = nextTimes;
  const next = harness.startWaitingVm('vm-2');
  const faults = harness.fleet.faults(minion.description.id);
  faults.startDelayMs = START_DELAY_MS;
  await submitJob(harness.store, createStoredJob(2, [createStepShape({longRunning: true})]));
  await waitFor('a start got no response', () =>
    harness.events.includes(OWNER_EVENTS.MINION_UNREACHABLE),
  );
  faults.isUnreachable = true;
  await waitForRoster(harness.store, (roster) => roster.includes('"heldUntil"'));
  await next.observe();
  minion.restart(2, harness.clock.monotonic());
  await waitFor('the start is carried out', () => minion.liveTasks.length === 1);
  await test.endOwner(first, end);
  next.isAllowed = true;
  await waitFor('the VM owns the fleet', () => next.ownership !== undefined);
  const other = await test.addReportedMinion('m2', LONG_LEASE_MS);
  assert.ok(next.ownership);
  await test.pass(LONGEST_WAIT_MS, next.ownership);
  await waitFor('both tasks run again', () => other.liveTasks.length === 2, REACTION_MS);
}

/** A former owner can't reach the store, of which the next one has acquired the ownership. */
async function playLostStore(
  test: LeaseBoundsCase,
  nextTimes: LeaseTimes,
  keptMs: number,
): Promise<void> {
  const {harness} = test;
  const minion = test.addMinion('m1', SHORT_LEASE_MS);
  let isStoreDown = false;
  const store = disconnect(harness.store, () => isStoreDown);
  // A minion that both owners reach would reject the orders of the former one.
  const formerFleet = cutOff(harness.fleet, brand<MinionId>('m2'));
  const first = await harness.start('vm-1', store, formerFleet);
  await harness.runLastingTask(minion);
  isStoreDown = true;
  await sleep(SETTLED_MS);
  await harness.store.revokeLease(first.ownership.lease);
  harness.clock.advance(keptMs);
  harness.leaseTimes = nextTimes;
  const fleet = cutOff(harness.fleet, minion.description.id);
  const {ownership} = await harness.start('vm-2', harness.store, fleet);
  const other = await test.addReportedMinion('m2', SHORT_LEASE_MS);
  await test.pass(LONGEST_WAIT_MS, ownership);
  await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
}

describe('A minion whose longest lease is not that of the first sites', () => {
  describe(
    'that accepts 20 s and begins an incarnation that a start without a response reaches',
    {concurrency: CONCURRENT_TESTS},
    () => {
      for (const [owner, formerTimes] of [
        ['its owner', LONG_TIMES],
        ['its owner, of a version that assumes 10 s,', DEFAULT_LEASE_TIMES],
      ] as const) {
        for (const end of ENDS) {
          it(`never has a live run beside that of the next owner, when ${owner} is ${end}`, () =>
            play(formerTimes, (test) => playLaterIncarnation(test, end, LONG_TIMES)));
        }
      }
    },
  );

  describe('that accepts 6 s and is lost for good, with its entry kept', () => {
    it('holds its lasting task for less than the usual lease of an owner that assumes 10 s', () =>
      play(DERIVED_TIMES, async (test) => {
        const {harness} = test;
        const minion = test.addMinion('m1', SHORT_LEASE_MS);
        const {ownership} = await harness.start('vm-1');
        await harness.runLastingTask(minion);
        minion.crash(Infinity, harness.clock.monotonic());
        const other = await test.addReportedMinion('m2', SHORT_LEASE_MS);
        await test.pass(ASSUMED_LEASE_MS, ownership, () => other.liveTasks.length > 0);
        const startedAtMs = other.records[0]?.startedAtMs ?? Infinity;
        const idleMs = startedAtMs - findLastEnd(minion);
        assert.ok(idleMs < ASSUMED_LEASE_MS, `idle for ${String(idleMs)} ms`);
      }));
  });

  for (const [name, formerTimes, nextTimes] of [
    ['that assumes 10 s, before one that derives 6 s', DEFAULT_LEASE_TIMES, DERIVED_TIMES],
    ['that derives 6 s, before one that assumes 10 s', DERIVED_TIMES, DEFAULT_LEASE_TIMES],
  ] as const) {
    const title = `that accepts 6 s, with an owner ${name}`;
    describe(title, {concurrency: CONCURRENT_TESTS}, () => {
      for (const end of ENDS) {
        it(`keeps its work through the takeover when the former is ${end}`, () =>
          play(formerTimes, async (test) => {
            const {harness} = test;
            const minion = test.addMinion('m1', SHORT_LEASE_MS);
            const first = await harness.startKillable('vm-1');
            await harness.runLastingTask(minion);
            await test.endOwner(first, end);
            harness.leaseTimes = nextTimes;
            const {ownership} = await harness.start('vm-2');
            const {answeredPolls} = minion;
            await waitFor('it reports', () => minion.answeredPolls > answeredPolls + 3);
            await test.pass(LONGEST_WAIT_MS, ownership);
            assert.deepEqual(
              minion.records.map(({outcome}) => outcome),
              [undefined],
            );
          }));

        for (const silence of ['as', 'before']) {
          it(`never has a live run beside another when it falls silent ${silence} the former is ${end}`, () =>
            play(formerTimes, async (test) => {
              const {harness} = test;
              const minion = test.addMinion('m1', SHORT_LEASE_MS);
              const first = await harness.startKillable('vm-1');
              await harness.runLastingTask(minion);
              if (silence === 'before') {
                await harness.cutOff(minion);
              }
              harness.fleet.faults(minion.description.id).isUnreachable = true;
              await test.endOwner(first, end);
              harness.leaseTimes = nextTimes;
              const {ownership} = await harness.start('vm-2');
              const other = await test.addReportedMinion('m2', SHORT_LEASE_MS);
              await test.pass(LONGEST_WAIT_MS, ownership);
              await waitFor('the task runs', () => other.liveTasks.length === 1, REACTION_MS);
            }));
        }
      }

      for (const keptMs of [0, OWNERSHIP_TTL_MS]) {
        it(`never has a live run beside another when the former acts on without the store, which ends its ownership after ${keptMs} ms`, () =>
          play(formerTimes, (test) => playLostStore(test, nextTimes, keptMs)));
      }
    });
  }
});

/** Returns when the last run on a minion ended. */
function findLastEnd({records}: EmulatedMinion): number {
  return Math.max(...records.map(({endedAtMs}) => endedAtMs ?? Infinity));
}
