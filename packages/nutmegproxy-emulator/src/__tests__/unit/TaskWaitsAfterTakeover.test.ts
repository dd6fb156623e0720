import type {EventFields, EventKind, NodeIdentity} from '@nutmegproxy/core';

import {brand, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {EventLog, LogStream} from '@nutmegproxy/events';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {KillableOwner, StartedOwner} from './TakeoverHarness.ts';

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
import {waitForRoster} from './StoreSamples.ts';
import {TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after which the cause of a wait is read from the log. */
const WAIT_MS = 4_000;
const STEP_MS = 250;
const STEP_PAUSE_MS = 50;
const WAIT_FIELDS = [
  'waitingFirst',
  'waitingLease',
  'waitingPlacement',
  'waitingRecord',
  'waitingRecovery',
  'waitingStart',
  'waitingStop',
] as const;

describe('The line of waits after a takeover', () => {
  describe('tells by itself that a task waits for', () => {
    let first: KillableOwner;
    let harness: TakeoverHarness;
    let minion: EmulatedMinion;

    beforeEach(async () => {
      harness = new TakeoverHarness();
      minion = harness.addMinion('m1');
      first = await harness.startKillable('vm-1');
      await harness.runLastingTask(minion);
    });

    afterEach(async () => {
      await harness.close();
    });

    function silence(): void {
      harness.fleet.faults(minion.description.id).isUnreachable = true;
    }

    function passTime({ownership}: StartedOwner): Promise<void> {
      return harness.passTime(ownership, WAIT_MS, STEP_MS, STEP_PAUSE_MS);
    }

    /** Starts the next owner, to which the minion reports its run. */
    async function takeOver(): Promise<StartedOwner> {
      await first.kill();
      const next = await harness.start('vm-2');
      const {answeredPolls} = minion;
      await waitFor('the run is listed', () => minion.answeredPolls > answeredPolls + 2);
      await waitFor('the recovery is over', () =>
        harness.events.includes(OWNER_EVENTS.RECOVERY_DONE),
      );
      return next;
    }

    /** Returns of the last line the counts that are not 0, and what is known of the longest wait. */
    function readLine(): EventFields {
      const line = harness.fields.get(OWNER_EVENTS.TASKS_WITHHELD)?.at(-1) ?? {};
      const counts = WAIT_FIELDS.filter((name) => line[name] !== 0);
      const {isRecovering, knownFrom, reason, term, waitedMs} = line;
      assert.ok(Number(waitedMs) >= WAIT_MS - 1_500, `waited for ${waitedMs} ms`);
      return {isRecovering, knownFrom, reason, term, waits: counts.join(' ')};
    }

    it('a minion that has not reported since the former owner used it', async () => {
      silence();
      await first.kill();
      await passTime(await harness.start('vm-2'));
      const {reason, waits} = readLine();
      assert.deepEqual({reason, waits}, {reason: 'recovery', waits: 'waitingRecovery'});
    });

    it("a run that only the former owner's record names", async () => {
      silence();
      await waitForRoster(harness.store, (roster) => roster.includes('"silent"'));
      await first.kill();
      await passTime(await harness.start('vm-2'));
      const {knownFrom, reason, waits} = readLine();
      assert.deepEqual(
        {knownFrom, reason, waits},
        {knownFrom: 'record', reason: 'lease', waits: 'waitingRecord'},
      );
    });

    it('a lease of the settled owner', async () => {
      const next = await takeOver();
      silence();
      await passTime(next);
      assert.deepEqual(readLine(), {
        isRecovering: false,
        knownFrom: 'listing',
        reason: 'lease',
        term: 1,
        waits: 'waitingLease',
      });
    });

    it('a start of the settled owner that gets no response', async () => {
      const next = await takeOver();
      const other = harness.addMinion('m2');
      harness.fleet.faults(other.description.id).startDelayMs = 60_000;
      const resources = {cpuMilli: 4_000, gpus: 0, memoryMb: 100};
      const shape = createStepShape({longRunning: true, resources});
      await submitJob(harness.store, createStoredJob(2, [shape]));
      await passTime(next);
      const {isRecovering, knownFrom, reason, waits} = readLine();
      assert.deepEqual({isRecovering, knownFrom}, {isRecovering: false, knownFrom: 'order'});
      assert.ok(reason === 'lease' || reason === 'start');
      assert.ok(waits === 'waitingLease' || waits === 'waitingStart');
    });

    it('room, as no minion fits', async () => {
      const next = await takeOver();
      harness.fleet.faults(minion.description.id).rejection = {
        clockMs: undefined,
        kind: 'other-life',
        message: 'another minion',
      };
      await passTime(next);
      assert.deepEqual(readLine(), {
        isRecovering: false,
        knownFrom: undefined,
        reason: 'placement',
        term: 1,
        waits: 'waitingPlacement',
      });
    });
  });

  describe('while more is logged than may be written', () => {
    const BYTES_PER_SECOND = 4_096;
    const IDENTITY: NodeIdentity = {
      dataCentre: brand('dc-a'),
      incarnation: brand('5f0f9f0e-30b8-4a5f-9c6e-0a1b2c3d4e5f'),
      region: brand('north'),
      vm: brand('edge-a-1'),
    };
    const MINIONS = 20;
    const TASKS = 2_000;
    const LINES = 4;
    const RENEWAL_MS = 400;
    let stop: () => void;
    let store: MemoryStore;

    beforeEach(() => {
      stop = () => undefined;
      store = new MemoryStore();
    });

    afterEach(async () => {
      stop();
      await store.close();
    });

    it('is written each time, unlike those of single starts', async () => {
      const fleet = new EmulatedFleet(SYSTEM_CLOCK);
      for (let number = 1; number <= MINIONS; number += 1) {
        const behaviour = () => ({durationMs: 20, outcome: 'done'}) as const;
        fleet.add(new EmulatedMinion(createMinionDescription(`m${number}`), behaviour));
      }
      const former = await startOwner(SYSTEM_CLOCK, store, fleet);
      former.owner.stop('killed');
      await former.election.resign(former.ownership, 'killed');
      await submitJob(store, createStoredJob(1, [createStepShape({count: TASKS})]));
      const recorded: EventKind[] = [];
      const written: string[] = [];
      const log = new EventLog({
        clock: SYSTEM_CLOCK,
        destination: new LogStream({
          bytesPerSecond: BYTES_PER_SECOND,
          now: () => performance.now(),
          output: {write: (line: string) => written.push(line)},
        }),
        identity: IDENTITY,
        level: 'info',
        ringSize: 16,
      });
      const {owner, ownership} = await startOwner(SYSTEM_CLOCK, store, fleet, 'vm-2', {
        record: (kind, fields) => {
          recorded.push(kind);
          log.record(kind, fields);
        },
      });
      const count = (kind: EventKind): number => recorded.filter((each) => each === kind).length;
      const countWritten = ({code}: EventKind): number =>
        written.filter((line) => line.includes(`"code":${code},`)).length;
      const renewal = setInterval(() => {
        void store.keepLeaseAlive(ownership.lease);
      }, RENEWAL_MS);
      stop = () => {
        clearInterval(renewal);
        owner.stop('end of test');
      };
      await waitFor('some lines', () => count(OWNER_EVENTS.TASKS_WITHHELD) >= LINES);
      assert.ok(countWritten(SCHEDULING_EVENTS.RUN_PLACED) < count(SCHEDULING_EVENTS.RUN_PLACED));
      assert.equal(countWritten(OWNER_EVENTS.TASKS_WITHHELD), count(OWNER_EVENTS.TASKS_WITHHELD));
    });
  });
});
