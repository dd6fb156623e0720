import type {EventFields, EventKind, EventSink, VmId} from '@nutmegproxy/core';
import type {LeaseResponse, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {err, ok, ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import type {FleetOwnership} from '../../FleetOwnership.ts';

import {OwnerElection} from '../../OwnerElection.ts';
import {OWNER_EVENTS} from '../../OwnerEvents.ts';

const STEP_MS = 10;
const RIVAL_INTERVAL_MS = 100;
/** What the platform's users see of a store that loses responses: a share, for a time. */
const LATE_SHARE = 0.35;
const LATE_STORE_MS = 60_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Time in milliseconds after which a call without a response fails. */
const CALL_TIMEOUT_MS = 900;
const SLOW_RESPONSE_MS = 240;

type Renewed = Result<LeaseResponse, StoreFailure>;

/** A renewal whose response the test chooses. */
interface HeldRenewal {
  readonly respond: (response: Renewed) => void;
  readonly sentAtMs: number;
}

const RENEWED: Renewed = ok({
  lease: brand('1'),
  ttlSeconds: DEFAULT_LEASE_TIMES.ownershipTtlMs / 1000,
});
const LEASE_ENDED: Renewed = ok({lease: brand('1'), ttlSeconds: 0});
const NO_RESPONSE: Renewed = err({kind: 'unavailable', message: 'no response'});

describe('OwnershipRenewal', () => {
  let clock: ManualClock;
  let lastFields: EventFields;
  let lines: EventKind[];
  let store: MemoryStore;

  const events: EventSink = {
    ...SILENT_EVENTS,
    record: (kind, fields) => {
      lines.push(kind);
      lastFields = fields;
    },
  };

  function open(vm: string, vmStore: MemoryStore): OwnerElection {
    return new OwnerElection({
      clock,
      events,
      leaseTimes: DEFAULT_LEASE_TIMES,
      store: vmStore,
      vm: brand<VmId>(vm),
    });
  }

  /** Acquires the ownership and renews it until it ends. */
  async function own(): Promise<FleetOwnership> {
    const election = open('vm-1', store);
    const ownership = (await election.acquire())._unsafeUnwrap();
    void election.renew(ownership);
    return ownership;
  }

  async function settle(): Promise<void> {
    await new Promise(setImmediate);
  }

  async function advance(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
      clock.advance(STEP_MS);
      mock.timers.tick(STEP_MS);
      await settle();
    }
  }

  function countLines(kind: EventKind): number {
    return lines.filter((line) => line === kind).length;
  }

  /** Passes each renewal to `handle` instead of the store. */
  function interceptRenewals(handle: (renewal: HeldRenewal) => void): void {
    store.keepLeaseAlive = () =>
      new ResultAsync(
        new Promise<Renewed>((resolve) => {
          handle({respond: resolve, sentAtMs: clock.monotonic()});
        }),
      );
  }

  function holdRenewals(): HeldRenewal[] {
    const held: HeldRenewal[] = [];
    interceptRenewals((renewal) => held.push(renewal));
    return held;
  }

  /** Returns how often the lease is renewed in a minute if each response takes `responseMs`. */
  async function countRenewalsPerMinute(responseMs: number): Promise<number> {
    let count = 0;
    const keepLeaseAlive = store.keepLeaseAlive.bind(store);
    store.keepLeaseAlive = (lease) => {
      count += 1;
      const answered = new Promise<void>((resolve) => {
        setTimeout(resolve, responseMs);
      });
      return new ResultAsync(answered.then(() => keepLeaseAlive(lease)));
    };
    const ownership = await own();
    await advance(60_000);
    assert.equal(ownership.state(clock.monotonic(), clock.wall()), 'proved');
    return count;
  }

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    store = new MemoryStore(clock);
    mock.timers.enable({apis: ['setTimeout']});
  });

  afterEach(async () => {
    mock.timers.reset();
    await store.close();
  });

  describe('is not lost while the store carries out renewals late and without a response', () => {
    for (const seed of SEEDS) {
      it(`with seed ${String(seed)}`, async () => {
        const ownership = await own();
        const rival = open('vm-2', new MemoryStore(clock, store.engine));
        store.faults.change({lateShare: LATE_SHARE, seed});
        for (let elapsedMs = 0; elapsedMs < LATE_STORE_MS; elapsedMs += RIVAL_INTERVAL_MS) {
          await advance(RIVAL_INTERVAL_MS);
          const acquired = await rival.acquire();
          assert.equal(acquired.isErr(), true, `another owner after ${String(elapsedMs)} ms`);
        }
        assert.notEqual(ownership.state(clock.monotonic(), clock.wall()), 'over');
      });
    }
  });

  describe('the confirmation', () => {
    it('is the time at which the renewal was sent', async () => {
      const held = holdRenewals();
      const ownership = await own();
      await advance(1_000);
      held[0]?.respond(RENEWED);
      await settle();
      assert.equal(ownership.confirmedAt, held[0]?.sentAtMs);
    });

    it('is not moved back by a response that a later one has overtaken', async () => {
      const held = holdRenewals();
      const ownership = await own();
      await advance(1_000);
      held[2]?.respond(RENEWED);
      await settle();
      held[0]?.respond(RENEWED);
      await settle();
      assert.equal(ownership.confirmedAt, held[2]?.sentAtMs);
    });

    it('is not moved by a renewal without a response', async () => {
      const held = holdRenewals();
      const ownership = await own();
      const confirmedAt = ownership.confirmedAt;
      await advance(1_000);
      held[0]?.respond(NO_RESPONSE);
      await settle();
      assert.equal(ownership.confirmedAt, confirmedAt);
    });
  });

  describe('the next renewal', () => {
    it('is not put off by a response that a later one has overtaken', async () => {
      const held = holdRenewals();
      await own();
      await advance(1_000);
      held[2]?.respond(RENEWED);
      await settle();
      await advance(300);
      held[0]?.respond(RENEWED);
      await settle();
      const sent = held.length;
      await advance(100);
      assert.equal(held.length, sent + 1);
    });

    it('is sent at once when the acquisition took longer than the pause', async () => {
      const held = holdRenewals();
      const election = open('vm-1', store);
      const ownership = (await election.acquire())._unsafeUnwrap();
      await advance(900);
      void election.renew(ownership);
      assert.equal(held.length, 1);
    });
  });

  describe('the end of the lease', () => {
    it('ends the ownership when an older renewal reports it', async () => {
      const held = holdRenewals();
      const ownership = await own();
      await advance(1_000);
      held[2]?.respond(RENEWED);
      await settle();
      held[0]?.respond(LEASE_ENDED);
      await settle();
      assert.equal(ownership.state(clock.monotonic(), clock.wall()), 'over');
    });

    it('is logged with the age of the last confirmation', async () => {
      const held = holdRenewals();
      await own();
      await advance(1_000);
      held[0]?.respond(LEASE_ENDED);
      await settle();
      assert.equal(lastFields.confirmedMs, 1_000);
    });

    it('is reported in one line however many renewals report it', async () => {
      const held = holdRenewals();
      await own();
      await advance(1_000);
      assert.ok(held.length > 1);
      for (const {respond} of held) {
        respond(LEASE_ENDED);
      }
      await settle();
      assert.equal(countLines(OWNER_EVENTS.OWNERSHIP_LOST), 1);
    });
  });

  describe('after the ownership has ended', () => {
    it('sends nothing', async () => {
      const held = holdRenewals();
      const ownership = await own();
      await advance(1_000);
      const sent = held.length;
      ownership.end();
      await advance(5_000);
      assert.equal(held.length, sent);
    });

    it('ignores the responses to renewals that were sent before', async () => {
      const held = holdRenewals();
      const ownership = await own();
      const {confirmedAt} = ownership;
      await advance(1_000);
      ownership.end();
      held[0]?.respond(RENEWED);
      held[1]?.respond(LEASE_ENDED);
      held[2]?.respond(NO_RESPONSE);
      await settle();
      assert.equal(ownership.confirmedAt, confirmedAt);
      assert.deepEqual(lines, []);
    });
  });

  describe('without a response', () => {
    it('sends further renewals while the first has none', async () => {
      const held = holdRenewals();
      await own();
      await advance(DEFAULT_LEASE_TIMES.ownershipTtlMs);
      assert.ok(held.length >= 7, `${String(held.length)} in a lifetime`);
    });

    it('bounds the renewals that are pending', async () => {
      const held = holdRenewals();
      const ownership = await own();
      while (ownership.state(clock.monotonic(), clock.wall()) !== 'over') {
        await advance(1_000);
      }
      assert.ok(held.length <= 8, `${String(held.length)} pending`);
    });

    it('sends on when pending renewals fail', async () => {
      let pending = 0;
      let maxPending = 0;
      let sent = 0;
      interceptRenewals(({respond}) => {
        sent += 1;
        pending += 1;
        maxPending = Math.max(maxPending, pending);
        setTimeout(() => {
          pending -= 1;
          respond(NO_RESPONSE);
        }, CALL_TIMEOUT_MS);
      });
      await own();
      await advance(8_000);
      assert.ok(sent > 30, `${String(sent)} sent`);
      assert.ok(maxPending <= 8, `${String(maxPending)} pending`);
    });

    it('records in one line that the ownership is unconfirmed', async () => {
      interceptRenewals(({respond}) => {
        setTimeout(() => {
          respond(NO_RESPONSE);
        }, CALL_TIMEOUT_MS);
      });
      await own();
      await advance(8_000);
      assert.equal(countLines(OWNER_EVENTS.OWNERSHIP_UNCONFIRMED), 1);
    });
  });

  describe('the cost in calls', () => {
    it('is no more than one renewal in 400 ms while the store responds at once', async () => {
      assert.ok((await countRenewalsPerMinute(0)) <= 150);
    });

    it('is less than twice as high while the store is slow', async () => {
      const soleRenewals = 60_000 / (400 + SLOW_RESPONSE_MS);
      const renewals = await countRenewalsPerMinute(SLOW_RESPONSE_MS);
      assert.ok(renewals < 2 * soleRenewals, `${String(renewals)} renewals`);
    });
  });
});
