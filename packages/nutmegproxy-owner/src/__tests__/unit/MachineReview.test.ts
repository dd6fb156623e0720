import type {Instant, MinionId, WallTime} from '@nutmegproxy/core';
import type {MachineId, MinionState} from '@nutmegproxy/scheduling';

import {brand, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {errAsync, okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import type {MachineOccupants} from '../../MachineList.ts';

import {MachineReview} from '../../MachineReview.ts';
import {
  MACHINE_LISTS,
  MACHINE_REVIEW_INTERVAL_MS,
  MAX_REVIEWS_WITHOUT_LIST,
} from '../../OwnerConstants.ts';
import {acquireOwnership, createMinion} from './OwnerSamples.ts';

const MACHINE = brand<MachineId>('machine');
/** Reviews after which the pauses between lists have their full length. */
const MANY_REVIEWS = 10 * MAX_REVIEWS_WITHOUT_LIST;
/** The review that sees a change, and one more for each further list that has to agree. */
const REVIEWS_AFTER_A_CHANGE = MACHINE_LISTS;

describe('MachineReview', () => {
  let clock: ManualClock;
  let fleet: Fleet;
  let gone: MinionState[];
  let isActing: boolean;
  let isListDown: boolean;
  let lists: number;
  let minion: MinionState;
  let occupants: Map<MachineId, MinionId | undefined>;
  let store: MemoryStore;

  beforeEach(async () => {
    clock = new ManualClock(0);
    fleet = new Fleet(SILENT_EVENTS);
    gone = [];
    isActing = true;
    isListDown = false;
    lists = 0;
    occupants = new Map();
    store = new MemoryStore();
    const ownership = await acquireOwnership(store);
    ownership.confirm(0 as Instant, 0 as WallTime);
    mock.timers.enable({apis: ['setTimeout']});
    minion = createMinion();
    minion.description = {...minion.description, machine: MACHINE};
    minion.areRunsKnown = false;
    minion.missedCalls = 1;
    minion.leaseClock.assumeLeasedUntil(Infinity as Instant);
    fleet.minions.set(minion.id, minion);
    const review = new MachineReview({
      clock,
      events: SILENT_EVENTS,
      fleet,
      machines: {
        list: () => {
          lists += 1;
          return isListDown
            ? errAsync({kind: 'unavailable', message: 'injected'})
            : okAsync<MachineOccupants>(new Map(occupants));
        },
      },
      onGone: (each) => gone.push(each),
      ownership,
    });
    void review.run(() => isActing);
  });

  afterEach(async () => {
    isActing = false;
    mock.timers.reset();
    await store.close();
  });

  /** Lets reviews take place until a condition holds, at most a number of them; returns the number. */
  async function review(most: number, isOver: () => boolean = () => false): Promise<number> {
    let reviews = 0;
    while (reviews < most && !isOver()) {
      mock.timers.tick(MACHINE_REVIEW_INTERVAL_MS);
      await new Promise((resolve) => setImmediate(resolve));
      reviews += 1;
    }
    return reviews;
  }

  const isGone = (): boolean => gone.length > 0;

  describe('while the same minions are absent', () => {
    beforeEach(() => {
      occupants.set(MACHINE, undefined);
    });

    it('asks for lists after longer and longer pauses', async () => {
      await review(MANY_REVIEWS);
      assert.ok(lists <= MANY_REVIEWS / MAX_REVIEWS_WITHOUT_LIST + 5, `${lists} lists`);
      assert.ok(lists >= MANY_REVIEWS / (MAX_REVIEWS_WITHOUT_LIST + 1), `${lists} lists`);
    });

    // Guards against a recovery that waits for some seconds more after the directory has caught up.
    it('finds a minion gone as soon as its entry is removed, if its machine has left', async () => {
      occupants.clear();
      await review(MANY_REVIEWS);
      assert.equal(isGone(), false);
      minion.unlistedSince = clock.monotonic();
      assert.equal(await review(MANY_REVIEWS, isGone), REVIEWS_AFTER_A_CHANGE);
    });

    it('finds a minion gone as soon as two lists show another one on its machine', async () => {
      await review(MANY_REVIEWS);
      occupants.set(MACHINE, brand<MinionId>('another'));
      const before = lists;
      await review(MANY_REVIEWS, () => lists > before);
      assert.equal(isGone(), false);
      assert.equal(await review(MANY_REVIEWS, isGone), MACHINE_LISTS - 1);
    });

    it('asks for lists after longer and longer pauses when no other one follows the first', async () => {
      occupants.set(MACHINE, brand<MinionId>('another'));
      await review(1, () => lists > 0);
      isListDown = true;
      const before = lists;
      await review(MANY_REVIEWS);
      assert.equal(isGone(), false);
      assert.ok(lists - before <= MANY_REVIEWS / MAX_REVIEWS_WITHOUT_LIST + 5, `${lists} lists`);
    });
  });
});
