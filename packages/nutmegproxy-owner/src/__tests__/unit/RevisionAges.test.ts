import type {Instant} from '@nutmegproxy/core';

import {ManualClock} from '@nutmegproxy/core';
import {STATE_PREFIX} from '@nutmegproxy/jobs';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {FleetOwnership} from '../../FleetOwnership.ts';
import type {OwnerElection} from '../../OwnerElection.ts';

import {RevisionAges} from '../../RevisionAges.ts';
import {RevisionLog} from '../../RevisionLog.ts';
import {createElection} from './OwnerSamples.ts';

const RECORDING_KEY = `${STATE_PREFIX}recording`;
/** Time in milliseconds after a takeover until the next VM is up; it then knows of the next change. */
const START_MS = 500;
/** What may be lost of an age once: the time between two revisions that are passed on. */
const MAX_LOSS_MS = 1_000;
/** Time in milliseconds between two changes of the store. */
const CHANGE_MS = 100;
/** Time in milliseconds for which the longest wait for something better lasts. */
const WAIT_MS = 13_500;
/** Most bytes that a takeover may store for it. */
const MAX_BYTES = 512;

describe('Ages of what is stored', () => {
  let clock: ManualClock;
  let store: MemoryStore;

  beforeEach(() => {
    clock = new ManualClock();
    store = new MemoryStore();
  });

  afterEach(async () => {
    await store.close();
  });

  function open(vm: string, revisions: RevisionLog): OwnerElection {
    return createElection({clock, store}, vm, {revisions});
  }

  /** Changes the store and shows it to those that watch. */
  async function passTime(forMs: number, watching: readonly RevisionLog[]): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += CHANGE_MS) {
      clock.advance(CHANGE_MS);
      const revision = (await put(store, 'heartbeat', Buffer.from('')))._unsafeUnwrap();
      for (const log of watching) {
        log.record(revision, clock.monotonic());
      }
    }
  }

  for (const termMs of [3_000, 7_000]) {
    for (const grantsLeases of [true, false]) {
      const kind = grantsLeases ? 'that grant leases' : 'that grant no lease';
      // Guards against waits that begin anew with each owner where each is a VM that has just started.
      it(`are known to owners each ${termMs} ms ${kind}, each of which started after the one before it took over`, async () => {
        let log = new RevisionLog();
        let election = open('vm-0', log);
        await passTime(CHANGE_MS, [log]);
        const revision = (await put(store, 'job', Buffer.from('')))._unsafeUnwrap();
        const storedAt = clock.monotonic();
        let ownership: FleetOwnership | undefined;
        let terms = 0;
        for (; clock.monotonic() - storedAt < WAIT_MS; terms += 1) {
          ownership = (await election.acquire())._unsafeUnwrap();
          if (grantsLeases) {
            ownership.recordLeaseGrant();
          }
          const next = new RevisionLog();
          await passTime(START_MS, [log]);
          await passTime(termMs - START_MS, [log, next]);
          await election.resign(ownership, 'planned stop');
          log = next;
          election = open(`vm-${terms + 1}`, log);
        }
        ownership = (await election.acquire())._unsafeUnwrap();
        const now = clock.monotonic();
        const ageMs = now - ownership.ages.findSeenAt(revision, now);
        assert.ok(ageMs <= now - storedAt, `${ageMs} ms are more than ${now - storedAt} ms`);
        const lossMs = now - storedAt - ageMs;
        assert.ok(
          lossMs <= MAX_LOSS_MS + terms * (START_MS + CHANGE_MS),
          `${lossMs} ms in ${terms} terms`,
        );
        const recording = (await getKey(store, RECORDING_KEY))._unsafeUnwrap();
        const bytes = recording?.value.length ?? Infinity;
        assert.ok(bytes <= MAX_BYTES, `${bytes} bytes`);
      });
    }
  }

  it('that a record does not name, or not in this form, are those that this VM knows', () => {
    const log = new RevisionLog();
    log.record(5, 1_000 as Instant);
    const now = 4_000 as Instant;
    for (const stored of [undefined, null, 7, 'x', [7], [['x', 1]], [[9, -1]], [[9, null]]]) {
      assert.equal(new RevisionAges(log, stored, now).findSeenAt(5, now), 1_000);
      assert.equal(new RevisionAges(log, stored, now).findSeenAt(6, now), now);
    }
  });

  it('are never longer by a record than by what this VM has seen', () => {
    const log = new RevisionLog();
    log.record(5, 1_000 as Instant);
    const now = 4_000 as Instant;
    const ages = new RevisionAges(log, [[4, 500]], 3_000 as Instant);
    assert.equal(ages.findSeenAt(4, now), 1_000);
    assert.equal(ages.findSeenAt(6, now), now);
  });
});
