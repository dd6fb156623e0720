import type {WallTime} from '@nutmegproxy/core';

import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {waitFor} from './JobSamples.ts';
import {isWriteOf, ROSTER_KEY, waitForRecord} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const RECOVERY_KEY = `${STATE_PREFIX}recovery`;
/** Error of each wall clock in milliseconds, in opposite directions. */
const CLOCK_ERROR_MS = 2_000;
/** The same when the clocks of two VMs have nothing in common. */
const HUGE_CLOCK_ERROR_MS = 3_600_000;
const SETTLED_MS = 500;
const STEP_MS = 250;
/** Longest time in milliseconds for which a former owner's lease counts, and a round of planning. */
const LONGEST_WAIT_MS = 12_000;

for (const errorMs of [CLOCK_ERROR_MS, HUGE_CLOCK_ERROR_MS]) {
  describe(`A wall clock ${errorMs} ms back, and one as far ahead at the next owner`, () => {
    let harness: TakeoverHarness;
    let minion: EmulatedMinion;
    let wallErrorMs: number;

    beforeEach(() => {
      harness = new TakeoverHarness();
      minion = harness.addMinion('m1');
      wallErrorMs = -errorMs;
      const wall = harness.clock.wall.bind(harness.clock);
      harness.clock.wall = () => (wall() + wallErrorMs) as WallTime;
    });

    afterEach(async () => {
      await harness.close();
    });

    function cutOff(): void {
      harness.fleet.faults(minion.description.id).isUnreachable = true;
    }

    /** Lets an owner take over whose clock is ahead; the task starts again once its lease has ended. */
    async function assertNoSecondRun(): Promise<void> {
      wallErrorMs = errorMs;
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('next vm');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      for (let elapsedMs = 0; elapsedMs < LONGEST_WAIT_MS; elapsedMs += STEP_MS) {
        await harness.passTime(ownership, STEP_MS, STEP_MS, 100);
        minion.advance(harness.clock.monotonic());
        assert.ok(minion.liveTasks.length + other.liveTasks.length <= 1, `after ${elapsedMs} ms`);
      }
      assert.equal(other.liveTasks.length, 1);
    }

    it('does not let a task run twice whose minion was silent for a killed owner', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      cutOff();
      await waitForRecord(harness.store, ROSTER_KEY, (text) => text.includes('"silent"'));
      await first.kill();
      await assertNoSecondRun();
    });

    it('does not let a task run twice whose minion a killed owner awaited', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      cutOff();
      const second = await harness.startKillable('vm-2');
      await waitForRecord(harness.store, RECOVERY_KEY, (text) => text.includes('"heldUntil"'));
      await second.kill();
      await assertNoSecondRun();
    });

    it('does not let a task run twice whose minion a killed owner knew from an account', async () => {
      const first = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      await harness.stopAsPlanned(first);
      cutOff();
      await sleep(SETTLED_MS);
      const second = await harness.startKillable('vm-2');
      await waitForRecord(harness.store, ROSTER_KEY, (text) => text.includes('"silent"'));
      await second.kill();
      await assertNoSecondRun();
    });

    it('does not let a task run twice whose minion only the closing record names as silent', async () => {
      let isRosterStored = true;
      const first = await harness.startKillable(
        'vm-1',
        (args) => !isRosterStored && isWriteOf(ROSTER_KEY, args),
      );
      await harness.runLastingTask(minion);
      isRosterStored = false;
      cutOff();
      await sleep(2 * SETTLED_MS);
      await harness.stopAsPlanned(first.started);
      await sleep(SETTLED_MS);
      const roster = (await getKey(harness.store, ROSTER_KEY))._unsafeUnwrap();
      assert.doesNotMatch(String(roster?.value), /"silent"/);
      await assertNoSecondRun();
    });

    it('does not let a task run twice whose record by an earlier version names an instant alone', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      cutOff();
      await waitForRecord(harness.store, ROSTER_KEY, (text) => text.includes('"silent"'));
      await first.kill();
      const roster = (await getKey(harness.store, ROSTER_KEY))._unsafeUnwrap();
      const entries = String(roster?.value).replace(/,"heldForMs":\d+/, '');
      (await put(harness.store, ROSTER_KEY, Buffer.from(entries)))._unsafeUnwrap();
      await assertNoSecondRun();
    });
  });
}
