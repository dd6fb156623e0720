import type {Instant, WallTime} from '@nutmegproxy/core';
import type {RunNumber, StepState} from '@nutmegproxy/jobs';

import {ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {formatTaskName} from '@nutmegproxy/jobs';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {RecoveryRecord} from '../../RecoveryRecord.ts';
import type {SilentMinionRecord} from '../../RosterEntry.ts';

import {MinionRecovery} from '../../MinionRecovery.ts';
import {Roster} from '../../Roster.ts';
import {acquireOwnership, createMinion, createStep} from './OwnerSamples.ts';

const LAST_TERM = 3;
const CONFIRMED_MS = 1_000;

describe('The account of a former owner on a silent minion', () => {
  let roster: Roster;
  let step: StepState;
  let store: MemoryStore;

  beforeEach(() => {
    store = new MemoryStore();
  });

  afterEach(async () => {
    roster.close();
    await store.close();
  });

  /** Receives an account of two recorded runs, of which it names as many as given, after the last use in a term. */
  async function receiveAccount({
    isExpired = false,
    lastTerm = LAST_TERM,
    leaseTerm = LAST_TERM,
    longRunning = true,
    named = 2,
  }): Promise<void> {
    const clock = new ManualClock();
    const fleet = new Fleet(SILENT_EVENTS);
    const minion = createMinion();
    fleet.minions.set(minion.id, minion);
    step = createStep(1, {count: 2, longRunning});
    fleet.jobs.set(step.job.id, step.job);
    const names = [0, 1].map((index) =>
      formatTaskName({index, job: step.job.id, occurrence: step.occurrence, step: step.number}),
    );
    const runs = names.map((name) => [name, 1 as RunNumber] as const);
    const ownership = await acquireOwnership(store);
    const onFenced = (): void => undefined;
    roster = new Roster({clock, events: SILENT_EVENTS, onFenced, ownership, store});
    const record = {
      findFormerUse: () => ({lastTerm, leaseTerm, runs}),
      update: () => Promise.resolve(),
    } as Partial<RecoveryRecord> as RecoveryRecord;
    const onChange = (): void => undefined;
    const recovery = new MinionRecovery({clock, fleet, onChange, ownership, record, roster});
    const silent: SilentMinionRecord = {heldUntil: 0 as WallTime, runs};
    const {description, id} = minion;
    roster.markSilent(description, silent, isExpired ? clock.monotonic() : undefined);
    recovery.expect(minion, {description, silent}, clock.monotonic());
    const account = {
      confirmedForMs: CONFIRMED_MS,
      heldForMs: 9_000,
      id,
      runs: runs.slice(0, named),
    };
    const unconfirmed = runs.slice(1);
    recovery.receive({accounts: [{...account, unconfirmed}], silent: [], term: LAST_TERM});
  }

  /** Returns when the lease of the confirmed run ends; undefined when it ends with that of the minion. */
  async function receive(leaseTerm: number): Promise<Instant | undefined> {
    await receiveAccount({leaseTerm});
    const [run] = step.runsOf(0);
    assert.ok(run);
    return run.leasedUntil;
  }

  async function countLiveRuns(lastTerm: number, named: number): Promise<number> {
    await receiveAccount({lastTerm, named});
    return [0, 1].filter((index) => step.runsOf(index).length > 0).length;
  }

  function countRecordedRuns(): number {
    return roster.find(createMinion().id)?.silent?.runs.length ?? 0;
  }

  it('tells when the leases of its confirmed runs end', async () => {
    assert.equal(await receive(LAST_TERM), CONFIRMED_MS);
  });

  it('does not tell that when a later owner may have renewed them', async () => {
    assert.equal(await receive(LAST_TERM + 1), undefined);
  });

  it('ends the recorded runs that it does not name', async () => {
    assert.equal(await countLiveRuns(LAST_TERM, 1), 1);
    assert.equal(countRecordedRuns(), 1);
  });

  it('leaves those on record that may have failed, which it omits if an earlier version made it', async () => {
    await receiveAccount({isExpired: true, longRunning: false, named: 0});
    assert.equal(countRecordedRuns(), 2);
  });

  it('ends no recorded run when a later owner may have started others', async () => {
    assert.equal(await countLiveRuns(LAST_TERM + 1, 1), 2);
  });
});
