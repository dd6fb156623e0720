/** What the next owner learns of a silent minion whose entry tells of a restart. */

import type {EventKind} from '@nutmegproxy/core';

import {formatJobKey} from '@nutmegproxy/jobs';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {createStoredJob, waitFor} from './JobSamples.ts';
import {OWNERSHIP_TTL_MS} from './LastingTaskScenario.ts';
import {isWriteOf, waitForRecord, waitForRoster} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

const BORN_LATER = 2;
/** Time in milliseconds after which the lease of a minion that is cut off has certainly expired. */
const LEASE_OVER_MS = 8_250;
const SETTLED_MS = 500;
const STEP_MS = 250;
const STEP_PAUSE_MS = 60;

describe('A silent minion whose entry tells of a restart', () => {
  let areJobsStored: boolean;
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;
  let owner: KillableOwner;

  beforeEach(async () => {
    harness = new TakeoverHarness();
    areJobsStored = true;
    minion = harness.addMinion('m1');
    owner = await harness.startKillable(
      'vm-1',
      (args) => !areJobsStored && isWriteOf('/progress', args),
    );
    await harness.runLastingTask(minion);
  });

  afterEach(async () => {
    await harness.close();
  });

  function countEvents(kind: EventKind): number {
    return harness.events.filter((each) => each === kind).length;
  }

  function reconnect(): void {
    harness.fleet.faults(minion.description.id).isUnreachable = false;
  }

  /** The minion crashes under the task, which had just started, and can't be reached after it either. */
  async function crashUnreached(): Promise<void> {
    minion.restart(BORN_LATER, harness.clock.monotonic());
    await harness.cutOff(minion);
    harness.fleet.add(minion);
    await waitFor('the crash counts', () => countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION) > 0);
    await sleep(SETTLED_MS);
  }

  /** Kills the owner; the minion responds to the next one. */
  async function takeOverAndReach(): Promise<void> {
    await owner.kill(OWNERSHIP_TTL_MS);
    const {answeredPolls} = minion;
    await harness.start('vm-2');
    reconnect();
    await waitFor('the minion reports', () => minion.answeredPolls > answeredPolls + 1);
    await sleep(SETTLED_MS);
  }

  describe('after it had crashed under a task that had just started', () => {
    it('counts against the task although its owner is killed before it has stored that', async () => {
      areJobsStored = false;
      await crashUnreached();
      await waitForRoster(harness.store, (roster) => roster.includes('"suspects"'));
      await takeOverAndReach();
      assert.equal(countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION), 2);
    });

    it('counts against the task once when its owner has stored that', async () => {
      await crashUnreached();
      const key = formatJobKey(createStoredJob(1, []).id, 'progress');
      await waitForRecord(harness.store, key, (progress) => progress.includes('"crashes"'));
      await takeOverAndReach();
      assert.equal(countEvents(SCHEDULING_EVENTS.TASK_CRASHED_MINION), 1);
    });
  });

  describe('while it is up, since another writer has written that', () => {
    /** Writes an entry that differs from the minion's own in its start time only. */
    function writeOddEntry(): void {
      const {description} = minion;
      minion.description = {...description, bornAt: BORN_LATER};
      harness.fleet.add(minion);
      minion.description = description;
    }

    for (const isRepeated of [false, true]) {
      const repeated = isRepeated ? ', and it is written again' : '';
      it(`does not start its task twice at once when it had denied that before${repeated}`, async () => {
        writeOddEntry();
        await waitFor(
          'the restart is denied',
          () => countEvents(OWNER_EVENTS.RESTART_DENIED) === 1,
        );
        await harness.cutOff(minion);
        if (isRepeated) {
          writeOddEntry();
          await sleep(SETTLED_MS);
        }
        await owner.kill(OWNERSHIP_TTL_MS);
        const other = harness.addMinion('m2');
        const {ownership} = await harness.start('vm-2');
        await waitFor('the other minion has reported', () => other.answeredPolls > 0);
        await sleep(SETTLED_MS);
        for (let elapsedMs = 0; elapsedMs < LEASE_OVER_MS; elapsedMs += STEP_MS) {
          await harness.passTime(ownership, STEP_MS, STEP_MS, STEP_PAUSE_MS);
          minion.advance(harness.clock.monotonic());
          assert.ok(minion.liveTasks.length + other.liveTasks.length <= 1);
        }
        await waitFor('the task runs again', () => other.liveTasks.length === 1);
      });
    }

    it('does not start its task twice at once when it responds before a task is started', async () => {
      await harness.cutOff(minion);
      writeOddEntry();
      await waitFor('it is believed', () => countEvents(OWNER_EVENTS.MINION_RESTARTED) === 1);
      await sleep(SETTLED_MS);
      reconnect();
      const {answeredPolls} = minion;
      await waitFor('it responds', () => minion.answeredPolls > answeredPolls + 1);
      await harness.cutOff(minion);
      await sleep(SETTLED_MS);
      await owner.kill(OWNERSHIP_TTL_MS);
      const other = harness.addMinion('m2');
      await harness.start('vm-2');
      await waitFor('the other minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      assert.deepEqual([minion.liveTasks.length, other.liveTasks.length], [1, 0]);
    });
  });
});
