import type {MinionState} from '@nutmegproxy/scheduling';

import {DEFAULT_PLATFORM_BOUNDS, ManualClock, SILENT_EVENTS, WorkQueue} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {SessionContext} from '../../SessionContext.ts';

import {MinionSession} from '../../MinionSession.ts';
import {OwnerLoad} from '../../OwnerLoad.ts';
import {PollLimiter} from '../../PollLimiter.ts';
import {acquireOwnership, createMinion, waitForStore} from './OwnerSamples.ts';

const CLOCK_MS = 50_000;
const WAIT_MS = 1_000;

describe('a listing that waits for other work of the event loop', () => {
  let clock: ManualClock;
  let minion: MinionState;
  let session: MinionSession;
  let store: MemoryStore;
  let turnLimitMs: number;
  let turns: (() => void)[];

  beforeEach(async () => {
    clock = new ManualClock(0);
    store = new MemoryStore(clock);
    turnLimitMs = Infinity;
    turns = [];
    minion = createMinion();
    const listing = {
      bornAt: undefined,
      clockMs: CLOCK_MS,
      ended: [],
      mayOmitResults: false,
      running: [],
    };
    const context = {
      bounds: DEFAULT_PLATFORM_BOUNDS,
      clock,
      events: SILENT_EVENTS,
      fleet: new Fleet(SILENT_EVENTS),
      isNearTarget: () => false,
      load: new OwnerLoad(),
      onChange: () => undefined,
      onListed: () => undefined,
      orders: {
        disconnect: () => undefined,
        poll: () => {
          turnLimitMs = 0;
          return okAsync(listing);
        },
      },
      overdueInMs: () => Infinity,
      ownership: await acquireOwnership(store),
      permitRenewal: () => true,
      pollLimiters: {answering: new PollLimiter(), silent: new PollLimiter()},
      recordUse: () => Promise.resolve(),
      work: new WorkQueue({
        clock,
        get maxTurnMs() {
          return turnLimitMs;
        },
        schedule: (callback) => turns.push(callback),
      }),
    };
    session = new MinionSession(context as unknown as SessionContext, minion);
  });

  afterEach(async () => {
    session.close();
    await store.close();
  });

  it('does not shorten the next leases by its wait, as its clock was read before', async () => {
    minion.leaseClock.end();
    void session.run();
    await waitForStore();
    clock.advance(WAIT_MS);
    turnLimitMs = Infinity;
    for (const endTurn of turns.splice(0)) {
      endTurn();
    }
    await waitForStore();
    assert.equal(minion.leaseClock.grantLease(0, clock.monotonic()), CLOCK_MS + WAIT_MS);
  });
});
