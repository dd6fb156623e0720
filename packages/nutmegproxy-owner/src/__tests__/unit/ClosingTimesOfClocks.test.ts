/**
 * The times of closing records in drawn plays of three owners whose machines are suspended and whose times of day are set,
 * before, during and after their calls to the store: a reader never takes a lease for over that a minion may still hold.
 * Runs by hand choose other plays by CLOSING_TIMES_SEED and CLOSING_TIMES_RUNS.
 */

import type {Clock, Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {LeaseId, PlatformStore, WatchHandler} from '@nutmegproxy/store';

import {brand, SILENT_EVENTS} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';

import type {OwnershipToken} from '../../MinionOrders.ts';

import {type ClosingRecord, ClosingRecords} from '../../ClosingRecords.ts';
import {FleetOwnership, type OwnershipGrant} from '../../FleetOwnership.ts';

const SEED = Number(process.env.CLOSING_TIMES_SEED ?? 73);
const RUNS = Number(process.env.CLOSING_TIMES_RUNS ?? 150);
const ID = brand<MinionId>('m1');
/** Remaining time in milliseconds of the minion's lease when its owner lists its accounts. */
const LEASE_MS = 7_000;
/** Error in milliseconds of times that are rounded. */
const ROUNDING_MS = 1;

interface Passage {
  readonly ms: number;
  /** By how much the time of day is set forward in milliseconds, or back. */
  readonly setMs: number;
  /** Whether the machine is suspended meanwhile. */
  readonly suspended: boolean;
}

/** Time of all machines. */
class TrueTime {
  nowMs = 0;
}

/** The clocks of a machine, which its suspension and its time of day change. */
class MachineClock implements Clock {
  readonly #time: TrueTime;
  #suspendedMs = 0;
  #setMs = 0;

  constructor(time: TrueTime) {
    this.#time = time;
  }

  monotonic(): Instant {
    return (this.#time.nowMs - this.#suspendedMs) as Instant;
  }

  wall(): WallTime {
    return (1_000_000 + this.#time.nowMs + this.#setMs) as WallTime;
  }

  pass({ms, setMs, suspended}: Passage): void {
    this.#time.nowMs += ms;
    this.#suspendedMs += suspended ? ms : 0;
    this.#setMs += setMs;
  }
}

interface Term {
  /** From the acquisition to the decision to end, and from there to the release. */
  readonly acts: Passage;
  readonly isPlanned: boolean;
  /** From the release until the next VM sees it. */
  readonly isSeenAfterMs: number;
  /** Whether the release is seen; else the next owner has its own read alone. */
  readonly isWatched: boolean;
  readonly releases: Passage;
  /** During its calls to the store, in turn. */
  readonly stores: readonly Passage[];
}

function drawPassage(maxMs: number, isEverSetBack: boolean): fc.Arbitrary<Passage> {
  const setMs = fc.oneof(fc.constant(0), fc.integer({max: 5_000, min: isEverSetBack ? -5_000 : 0}));
  return fc.record({ms: fc.integer({max: maxMs, min: 0}), setMs, suspended: fc.boolean()}).map(
    // Outside of what the clocks can tell: a suspension that is hidden by a time of day that was set back.
    (each) => (isEverSetBack ? {...each, suspended: false} : each),
  );
}

function drawTerm(isEverSetBack: boolean): fc.Arbitrary<Term> {
  return fc.record({
    acts: drawPassage(6_000, isEverSetBack),
    isPlanned: fc.boolean(),
    isSeenAfterMs: fc.integer({max: 400, min: 0}),
    isWatched: fc.boolean(),
    releases: drawPassage(800, isEverSetBack),
    stores: fc.array(drawPassage(1_500, isEverSetBack), {maxLength: 6, minLength: 6}),
  });
}

/** Tells of a change at once, so that no reader waits in real time. */
const watchAtOnce: PlatformStore['watch'] = (_key, _revision, handler: WatchHandler) => {
  handler.onEvents([], 0);
  return {close: () => undefined};
};

/** A view of a store in which time passes during each call. */
function passDuringCalls(
  store: PlatformStore,
  clock: MachineClock,
  passages: readonly Passage[],
): PlatformStore {
  let calls = 0;
  return new Proxy(store, {
    get: (target, name: keyof PlatformStore) => {
      if (name === 'watch') {
        return watchAtOnce;
      }
      const method = target[name].bind(target) as (...args: unknown[]) => unknown;
      return (...args: unknown[]) => {
        const passage = name === 'commit' ? passages[calls] : undefined;
        calls += name === 'commit' ? 1 : 0;
        if (passage !== undefined) {
          clock.pass(passage);
        }
        return method(...args);
      };
    },
  });
}

/** Returns by how much, in milliseconds, each reader takes the lease to last longer than it does. */
async function playOwners(terms: readonly Term[]): Promise<number[]> {
  const time = new TrueTime();
  const store = new MemoryStore();
  const clocks = [...terms, undefined].map(() => new MachineClock(time));
  const {ownershipTtlMs} = DEFAULT_LEASE_TIMES;
  const margins: number[] = [];
  let change: Partial<OwnershipGrant> = {};
  let leaseEndMs = 0;
  for (const [index, clock] of clocks.entries()) {
    const ownership = new FleetOwnership(
      {
        lease: '1' as LeaseId,
        leaseTimes: DEFAULT_LEASE_TIMES,
        recordingSince: 0,
        term: index + 1,
        token: (index + 1) as OwnershipToken,
        ...change,
      },
      clock.monotonic(),
      clock.wall(),
    );
    const acquiredMs = time.nowMs;
    const term = terms[index];
    const view = passDuringCalls(store, clock, term?.stores ?? []);
    const options = {clock, events: SILENT_EVENTS, ownership, store: view};
    const records = new ClosingRecords(options);
    if (index > 0) {
      let heldForMs: number | undefined;
      const onRecord = ({accounts = []}: ClosingRecord): void => {
        heldForMs ??= accounts[0]?.heldForMs;
      };
      await records.receive(() => heldForMs === undefined, onRecord);
      margins.push((heldForMs ?? Infinity) - (leaseEndMs - time.nowMs));
    }
    if (term === undefined) {
      break;
    }
    clock.pass(term.acts);
    if (term.isPlanned) {
      ownership.giveUp(clock.monotonic(), clock.wall());
    } else {
      ownership.end();
    }
    const expiresMs = acquiredMs + ownershipTtlMs;
    const endedMs = time.nowMs;
    // The accounts are listed and stored while the ownership is released, or has expired long before.
    const releasedMs = Math.min(expiresMs, endedMs + term.releases.ms);
    if (index === 0) {
      leaseEndMs = time.nowMs + LEASE_MS;
      await records.send([{heldForMs: LEASE_MS, id: ID, runs: []}], []);
    } else {
      await records.send([{heldForMs: 60_000, id: ID, lastTerm: 1}], []);
    }
    const next = clocks[index + 1];
    assert.ok(next);
    const seenMs = Math.max(releasedMs, acquiredMs) + term.isSeenAfterMs;
    time.nowMs = Math.max(time.nowMs, seenMs);
    // The next machine was not suspended since the release, as its own suspension makes its times longer only.
    const seenAt = (next.monotonic() - (time.nowMs - seenMs)) as Instant;
    const lastReleasedAt = term.isWatched ? seenAt : next.monotonic();
    change = {formerReleasedAt: lastReleasedAt, lastReleasedAt};
  }
  await store.close();
  return margins;
}

describe('The times of closing records', () => {
  let keepAlive: NodeJS.Timeout;

  before(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
  });

  after(() => {
    clearInterval(keepAlive);
  });

  for (const {isEverSetBack, name} of [
    {isEverSetBack: false, name: 'that are suspended, and whose times of day are set forward'},
    {isEverSetBack: true, name: 'whose times of day are set forward and back'},
  ]) {
    it(`never end before the lease does on machines ${name}, seed ${SEED}`, async () => {
      const plays = fc.tuple(drawTerm(isEverSetBack), drawTerm(isEverSetBack));
      const found: string[] = [];
      for (const play of fc.sample(fc.noBias(plays), {numRuns: RUNS, seed: SEED})) {
        const margins = await playOwners(play);
        if (margins.some((margin) => margin < -ROUNDING_MS)) {
          found.push(`${margins.join()}: ${JSON.stringify(play)}`);
        }
      }
      assert.deepEqual(found, []);
    });
  }
});
