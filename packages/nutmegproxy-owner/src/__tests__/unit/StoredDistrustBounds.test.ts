/** What owners take from recovery records: whole, malformed, or left behind by owners of other versions. */

import type {JobId, MinionId} from '@nutmegproxy/core';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey} from '@nutmegproxy/jobs';
import {MinionTrust} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import {FleetOwnership} from '../../FleetOwnership.ts';
import {RecoveryRecord} from '../../RecoveryRecord.ts';
import {acquireOwnership} from './OwnerSamples.ts';

const ID = brand<MinionId>('m1');
const BORN_AT = 1_000;
/** Time in which work beside free room has to run, as the users specify. */
const FINISH_MS = 14_000;

describe('What a recovery record says', () => {
  let clock: ManualClock;
  let keepAlive: NodeJS.Timeout;
  let store: MemoryStore;

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    clock = new ManualClock();
    store = new MemoryStore();
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    await store.close();
  });

  function open(ownership: FleetOwnership): RecoveryRecord {
    return new RecoveryRecord({
      clock,
      events: SILENT_EVENTS,
      onFenced: () => undefined,
      ownership,
      store,
    });
  }

  async function write(stored: object): Promise<void> {
    const key = formatRecordKey('recovery', FIRST_CELL);
    (await put(store, key, Buffer.from(JSON.stringify(stored))))._unsafeUnwrap();
  }

  const UNTRUSTED = {
    bornAt: BORN_AT,
    failedForMs: 0,
    handovers: 0,
    heldForMs: 4_000,
    id: ID,
    jobs: ['a', 'b'],
  };

  // Guards against owners that stop at each takeover by what a former one stored.
  it('ends no process where an awaited minion is malformed', async () => {
    await write({awaited: [null], term: 0, untrusted: [], used: []});
    const record = open(await acquireOwnership(store));
    await assert.doesNotReject(async () => record.read());
  });

  // Guards against distrust from before an owner of an earlier version, which kept no account of it.
  it('of distrust counts no more once an owner of an earlier version has followed', async () => {
    await write({awaited: [], term: 0, untrusted: [UNTRUSTED], used: [ID]});
    const {lease, leaseTimes, token} = await acquireOwnership(store);
    const grant = {lease, leaseTimes, recordingSince: 2, term: 2, token};
    const record = open(new FleetOwnership(grant, clock.monotonic(), clock.wall()));
    (await record.read())._unsafeUnwrap();
    assert.equal(record.findFormerTrust(ID), undefined);
  });

  /** Returns for how long after the last failure the minion gets nothing under owners that are all new processes. */
  async function measureQuarantine(ownerMs: number, change: object = {}): Promise<number> {
    let quarantinedMs = 0;
    await write({awaited: [], term: 0, untrusted: [{...UNTRUSTED, ...change}], used: [ID]});
    for (let owner = 0; owner < 40; owner += 1) {
      const record = open(await acquireOwnership(store));
      (await record.read())._unsafeUnwrap();
      const former = record.findFormerTrust(ID);
      const trust = new MinionTrust();
      if (former !== undefined) {
        trust.import(former.snapshot, former.storedBy);
      }
      record.listUntrusted = () => {
        const snapshot = trust.export(BORN_AT, clock.monotonic());
        return snapshot === undefined ? [] : [{...snapshot, id: ID}];
      };
      await record.update();
      record.close();
      for (let ms = 0; ms < ownerMs; ms += 100) {
        clock.advance(100);
        quarantinedMs += trust.level(clock.monotonic()) === 'quarantined' ? 100 : 0;
      }
    }
    return quarantinedMs;
  }

  // Guards against minions that get no trial for as long as the owner's process restarts again and again.
  it('of a quarantine is not prolonged beyond what callers wait for where each owner is a new process', async () => {
    const quarantinedMs = await measureQuarantine(3_500);
    assert.ok(quarantinedMs <= FINISH_MS, `${quarantinedMs} ms`);
  });

  // Guards against a count that does not bound the distrust, as it was stored below zero.
  it('of how many owners passed distrust on bounds it where that is negative', async () => {
    const quarantinedMs = await measureQuarantine(3_500, {handovers: -1_000});
    assert.ok(quarantinedMs <= 8 * 3_500, `${quarantinedMs} ms`);
  });

  it('of failed jobs is bounded where it is huge', async () => {
    const jobs = Array.from({length: 100_000}, (_, job) => brand<JobId>(`job-${job}`));
    await write({awaited: [], term: 0, untrusted: [{...UNTRUSTED, jobs}], used: [ID]});
    const record = open(await acquireOwnership(store));
    (await record.read())._unsafeUnwrap();
    const taken = record.findFormerTrust(ID)?.snapshot.jobs.length ?? 0;
    assert.ok(taken <= 100, `${taken} jobs`);
  });
});

