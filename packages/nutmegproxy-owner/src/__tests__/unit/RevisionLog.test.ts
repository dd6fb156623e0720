import type {Instant} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {RevisionLog} from '../../RevisionLog.ts';

/** More revisions than are remembered. */
const MANY_CHANGES = 10_000;
/** Time in milliseconds between two of them, which makes them last for longer than a minute is remembered. */
const CHANGE_MS = 20;
const NOW = 300_000 as Instant;
/** Time in milliseconds for which waits of jobs must be known. */
const REMEMBERED_MS = 60_000;
/** Least time in milliseconds between two of the older revisions that are remembered. */
const FORMER_GAP_MS = 250;

describe('RevisionLog', () => {
  let log: RevisionLog;

  beforeEach(() => {
    log = new RevisionLog();
    log.record(10, 1_000 as Instant);
    log.record(20, 2_000 as Instant);
  });

  it('takes nothing for stored before the store was known to have reached its revision', () => {
    assert.equal(log.findSeenAt(10, NOW), 1_000);
    assert.equal(log.findSeenAt(11, NOW), 2_000);
    assert.equal(log.findSeenAt(20, NOW), 2_000);
    assert.equal(log.findSeenAt(21, NOW), NOW);
  });

  it('tells when a state was not known to be stored yet, if it knew an earlier one', () => {
    assert.equal(log.findUnseenAt(10), -Infinity);
    assert.equal(log.findUnseenAt(20), 1_000);
    assert.equal(log.findUnseenAt(21), 2_000);
  });

  it('keeps the first instant when a state is reported again or late', () => {
    log.record(20, 3_000 as Instant);
    log.record(15, 4_000 as Instant);
    assert.equal(log.findSeenAt(15, NOW), 2_000);
    assert.equal(log.findSeenAt(20, NOW), 2_000);
  });

  it('counts from a later instant what was stored before all that it remembers', () => {
    for (let change = 1; change <= MANY_CHANGES; change += 1) {
      log.record(20 + change, (2_000 + change * CHANGE_MS) as Instant);
    }
    assert.ok(log.findSeenAt(10, NOW) > 2_000);
    assert.ok(log.findSeenAt(10, NOW) < NOW);
  });

  // Guards against waits that begin anew with each owner of a fleet whose store changes thousands of times meanwhile.
  it('knows of what was stored within the last minute, however often the store has changed since', () => {
    const startedAt = 2_000;
    for (let change = 1; change <= REMEMBERED_MS; change += 1) {
      log.record(20 + change, (startedAt + change) as Instant);
    }
    const now = (startedAt + REMEMBERED_MS) as Instant;
    for (let change = 1; change <= REMEMBERED_MS; change += 997) {
      const seenAt = log.findSeenAt(20 + change, now);
      const lateMs = seenAt - (startedAt + change);
      assert.ok(lateMs >= 0 && lateMs <= FORMER_GAP_MS, `${lateMs} ms late after ${change} ms`);
    }
  });
});
