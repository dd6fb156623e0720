import type {EventFields, Instant} from '@nutmegproxy/core';

import {after, SYSTEM_CLOCK} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import {handOver} from '../../PlannedHandover.ts';

const PAUSE_MS = 400;
const FAR_MS = 60_000;

describe('handOver', () => {
  let candidates: {
    isOwner: boolean;
    mayHandOver: boolean;
    readonly stop: () => Promise<void>;
    readonly windDown: () => void;
  };
  let fields: EventFields[];
  let isStopped: boolean;
  let isWindingDown: boolean;
  let keepAlive: NodeJS.Timeout;
  let listed: boolean;
  let vms: {hasSuccessor: boolean; refresh: () => Promise<void>};

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    fields = [];
    isStopped = false;
    isWindingDown = false;
    listed = false;
    candidates = {
      isOwner: true,
      mayHandOver: true,
      stop: () => {
        isStopped = true;
        return Promise.resolve();
      },
      windDown: () => {
        isWindingDown = true;
      },
    };
    // The last read of the list is old: it names a VM that has been stopped since.
    vms = {
      hasSuccessor: true,
      refresh: () => {
        vms.hasSuccessor = listed;
        return Promise.resolve();
      },
    };
  });

  afterEach(() => {
    clearInterval(keepAlive);
  });

  function start(deadline: Instant): Promise<void> {
    const events = {record: (_: unknown, each: EventFields) => fields.push(each)};
    return handOver({candidates, clock: SYSTEM_CLOCK, events, vms}, deadline);
  }

  it('gives up the ownership at once when another VM can acquire it', async () => {
    listed = true;
    await start(after(SYSTEM_CLOCK.monotonic(), FAR_MS));
    assert.ok(isStopped);
    assert.equal(fields[0]?.reason, 'another VM can own');
  });

  it('keeps the ownership until another VM can acquire it', async () => {
    const handed = start(after(SYSTEM_CLOCK.monotonic(), FAR_MS));
    await sleep(PAUSE_MS);
    assert.ok(!isStopped);
    assert.ok(!isWindingDown, 'work starts on while nobody else can start it');
    listed = true;
    await handed;
    assert.ok(isStopped);
  });

  it('gives it up when no other VM can acquire it in time', async () => {
    await start(after(SYSTEM_CLOCK.monotonic(), PAUSE_MS));
    assert.ok(isStopped);
    assert.equal(fields[0]?.reason, 'too late');
  });

  it('keeps the ownership until its recovery is complete and its stops are listed', async () => {
    listed = true;
    candidates.mayHandOver = false;
    const handed = start(after(SYSTEM_CLOCK.monotonic(), FAR_MS));
    await sleep(PAUSE_MS);
    assert.ok(!isStopped);
    assert.ok(isWindingDown, 'nothing starts right before the handover');
    candidates.mayHandOver = true;
    await handed;
    assert.equal(fields[0]?.reason, 'another VM can own');
  });

  it('gives it up in the end although they are not', async () => {
    listed = true;
    candidates.mayHandOver = false;
    await start(after(SYSTEM_CLOCK.monotonic(), FAR_MS));
    assert.equal(fields[0]?.reason, 'not settled');
  });

  it('does not wait for a store that does not respond', async () => {
    vms.refresh = () => new Promise(() => undefined);
    vms.hasSuccessor = false;
    await start(after(SYSTEM_CLOCK.monotonic(), PAUSE_MS));
    assert.ok(isStopped);
  });

  it('does not wait without an ownership', async () => {
    candidates.isOwner = false;
    await start(after(SYSTEM_CLOCK.monotonic(), FAR_MS));
    assert.ok(isStopped);
    assert.deepEqual(fields, []);
  });
});
