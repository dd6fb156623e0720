import type {WallTime} from '@nutmegproxy/core';
import type {MemoryStore} from '@nutmegproxy/standins';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {OWNER_KEY} from '@nutmegproxy/owner';
import {getKey, put} from '@nutmegproxy/store';
import {err, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {EmulatedMinion} from '../../EmulatedMinion.ts';

import {waitFor} from './JobSamples.ts';
import {isWriteOf} from './StoreSamples.ts';
import {sleep, TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a long-running task has to run again. */
const RESTART_DEADLINE_MS = 9_000;
/** Time in milliseconds for which nobody owns the fleet after a kill. */
const TAKEOVER_AFTER_KILL_MS = 2_500;
/** Duration in milliseconds of a store outage that the users' requirements list. */
const STORE_OUTAGE_MS = 6_000;
/** Time in real milliseconds in which the owners under test act on what has happened. */
const REACTION_MS = 5_000;
const SETTLED_MS = 500;
/** Longest time in milliseconds between two renewals of a minion's lease. */
const POLL_WAIT_MS = 2_000;
const CLOCK_STEP_MS = 20;
const CLOCK_DIFFERENCE_MS = 2_000;
const LONGEST_WAIT_MS = 12_000;
const SLOW_CALL_MS = 200;
/** Time in milliseconds after which a store call without a response is given up. */
const STORE_CALL_TIMEOUT_MS = 900;

function isRecoveryWrite(args: readonly unknown[]): boolean {
  return isWriteOf(`${STATE_PREFIX}recovery`, args);
}

/** Returns a view of a store that is slow and carries out the first recovery write without a response. */
function createSlowStore(store: MemoryStore): PlatformStore {
  let isLost = false;
  return new Proxy<PlatformStore>(store, {
    get: (target, name: keyof PlatformStore) => {
      const method = target[name].bind(target) as (
        ...args: unknown[]
      ) => ResultAsync<unknown, StoreFailure>;
      return (...args: unknown[]) => {
        if (name === 'watch') {
          return method(...args);
        }
        const loses = !isLost && isRecoveryWrite(args);
        isLost ||= loses;
        const call = async (): Promise<Result<unknown, StoreFailure>> => {
          await sleep(SLOW_CALL_MS);
          const result = await method(...args);
          if (!loses) {
            return result;
          }
          await sleep(STORE_CALL_TIMEOUT_MS - SLOW_CALL_MS);
          return err({kind: 'unknown', message: 'injected'});
        };
        return new ResultAsync(call());
      };
    },
  });
}

describe('Recovery beside other faults', () => {
  let harness: TakeoverHarness;
  let minion: EmulatedMinion;

  beforeEach(() => {
    harness = new TakeoverHarness();
    minion = harness.addMinion('m1');
  });

  afterEach(async () => {
    await harness.close();
  });

  describe('a task of a minion that left at an orderly end', () => {
    it('runs again within its deadline when the next owner is killed in its recovery', async () => {
      const first = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      await harness.stopAsPlanned(first);
      harness.fleet.remove(minion.description.id);
      await sleep(SETTLED_MS);
      const second = await harness.startKillable('vm-2');
      await sleep(SETTLED_MS);
      await second.kill();
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-3');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      await sleep(SETTLED_MS);
      await harness.passTime(ownership, RESTART_DEADLINE_MS - TAKEOVER_AFTER_KILL_MS, 250, 100);
      await waitFor('the task runs again', () => other.liveTasks.length === 1, REACTION_MS);
    });
  });

  describe('a store that is down right after a takeover', () => {
    it('does not let running work expire', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      harness.clock.advance(TAKEOVER_AFTER_KILL_MS);
      let isDown = false;
      // The outage begins once the owner has read what it needs.
      const second = await harness.startKillable('vm-2', (args) => {
        isDown ||= isRecoveryWrite(args);
        return isDown;
      });
      const {answeredPolls} = minion;
      await waitFor('the minion has reported', () => minion.answeredPolls > answeredPolls);
      await harness.passTime(second.started.ownership, STORE_OUTAGE_MS, 250, 150);
      isDown = false;
      await sleep(SETTLED_MS);
      assert.equal(minion.liveTasks.length, 1);
      assert.deepEqual(
        minion.records.map(({outcome}) => outcome),
        [undefined],
      );
    });
  });

  describe('a slow store that loses one answer after a takeover', () => {
    it('does not let running work expire', async () => {
      const first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
      await first.kill();
      harness.clock.advance(POLL_WAIT_MS + TAKEOVER_AFTER_KILL_MS);
      const passing = setInterval(() => {
        harness.clock.advance(CLOCK_STEP_MS);
      }, CLOCK_STEP_MS);
      try {
        await harness.start('vm-2', createSlowStore(harness.store));
        await sleep(REACTION_MS);
      } finally {
        clearInterval(passing);
      }
      assert.deepEqual(
        minion.records.map(({outcome}) => outcome),
        [undefined],
      );
    });
  });

  describe('a malformed stored value', () => {
    for (const value of ['{', 'null', '{"term":0}']) {
      it(`in the recovery record does not end the process: ${value}`, async () => {
        const first = await harness.start('vm-1');
        await waitFor('the minion has reported', () => minion.answeredPolls > 2);
        await harness.stopAsPlanned(first);
        await sleep(SETTLED_MS);
        (await put(harness.store, `${STATE_PREFIX}recovery`, Buffer.from(value)))._unsafeUnwrap();
        const {ended} = await harness.start('vm-2');
        const outcome = await Promise.race([
          ended.catch((error: unknown) => `rejected: ${String(error)}`),
          sleep(SETTLED_MS).then(() => 'owns'),
        ]);
        assert.equal(outcome, 'owns');
      });
    }

    it('in the record of the sequence does not keep every VM from the ownership', async () => {
      const first = await harness.start('vm-1');
      await harness.stopAsPlanned(first);
      await sleep(SETTLED_MS);
      const key = `${STATE_PREFIX}recording`;
      (await put(harness.store, key, Buffer.from('{')))._unsafeUnwrap();
      const {ownership} = await harness.start('vm-2');
      assert.equal(ownership.recordingSince, ownership.term);
      const stored = (await getKey(harness.store, key))._unsafeUnwrap();
      assert.match(String(stored?.value), /"since"/);
    });
  });

  describe('an acquisition without a response', () => {
    it('does not keep the fleet from another VM when it can not be read either', async () => {
      let isAcquired = false;
      const view = new Proxy<PlatformStore>(harness.store, {
        get: (target, name: keyof PlatformStore) => {
          const method = target[name].bind(target) as (
            ...args: unknown[]
          ) => ResultAsync<unknown, StoreFailure>;
          return (...args: unknown[]) => {
            if (name !== 'commit') {
              return method(...args);
            }
            const isWrite = JSON.stringify(args).includes('"put"');
            if (!isWrite && !isAcquired) {
              return method(...args);
            }
            isAcquired = true;
            return method(...args).andThen(() => err({kind: 'unknown', message: 'injected'}));
          };
        },
      });
      await assert.rejects(harness.start('vm-1', view), /injected/);
      await sleep(SETTLED_MS);
      const owner = (await getKey(harness.store, OWNER_KEY))._unsafeUnwrap();
      assert.equal(owner?.value.toString(), undefined);
    });
  });

  describe('a wall clock that is 2 s ahead of that of the VM before', () => {
    it('does not start a task while its last run may be live', async () => {
      const first = await harness.start('vm-1');
      await harness.runLastingTask(minion);
      await harness.stopAsPlanned(first);
      harness.fleet.faults(minion.description.id).isUnreachable = true;
      await sleep(SETTLED_MS);
      const second = await harness.startKillable('vm-2');
      await sleep(SETTLED_MS);
      await second.kill();
      const wall = harness.clock.wall.bind(harness.clock);
      harness.clock.wall = () => (wall() + CLOCK_DIFFERENCE_MS) as WallTime;
      const other = harness.addMinion('m2');
      const {ownership} = await harness.start('vm-3');
      await waitFor('the minion has reported', () => other.answeredPolls > 0);
      for (let elapsedMs = 0; elapsedMs < LONGEST_WAIT_MS; elapsedMs += 250) {
        await harness.passTime(ownership, 250, 250, 100);
        minion.advance(harness.clock.monotonic());
        assert.ok(minion.liveTasks.length + other.liveTasks.length <= 1);
      }
      assert.equal(other.liveTasks.length, 1);
    });
  });
});
