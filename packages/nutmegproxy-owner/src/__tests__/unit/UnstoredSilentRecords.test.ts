import type {WallTime} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {MinionState} from '@nutmegproxy/scheduling';

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

describe('The record of a silent minion that only the closing record has', () => {
  let minion: MinionState;
  let roster: Roster;
  let store: MemoryStore;

  beforeEach(async () => {
    store = new MemoryStore();
    const clock = new ManualClock();
    const fleet = new Fleet(SILENT_EVENTS);
    minion = createMinion();
    fleet.minions.set(minion.id, minion);
    const step = createStep(1);
    fleet.jobs.set(step.job.id, step.job);
    const task = {index: 0, job: step.job.id, occurrence: 0, step: 0};
    const runs = [[formatTaskName(task), 1 as RunNumber] as const];
    const ownership = await acquireOwnership(store);
    const onFenced = (): void => undefined;
    roster = new Roster({clock, events: SILENT_EVENTS, onFenced, ownership, store});
    const record = {
      findFormerUse: () => ({lastTerm: LAST_TERM, leaseTerm: LAST_TERM}),
      update: () => Promise.resolve(),
    } as Partial<RecoveryRecord> as RecoveryRecord;
    const onChange = (): void => undefined;
    const recovery = new MinionRecovery({clock, fleet, onChange, ownership, record, roster});
    const {description, id} = minion;
    void roster.add([description]);
    recovery.expect(minion, {description}, clock.monotonic());
    // The directory has told of a later incarnation since.
    minion.description = {...description, address: 'm1:2', bornAt: 2};
    const silent: SilentMinionRecord = {heldUntil: 0 as WallTime, runs};
    const accounts = [{heldForMs: 9_000, id, runs}];
    recovery.receive({accounts, silent: [{description, silent}], term: LAST_TERM});
  });

  afterEach(async () => {
    roster.close();
    await store.close();
  });

  it('is stored with its runs', () => {
    assert.equal(roster.find(minion.id)?.silent?.runs.length, 1);
  });

  it('is stored with what is known of the minion now', () => {
    assert.deepEqual(roster.find(minion.id)?.description, minion.description);
  });
});
