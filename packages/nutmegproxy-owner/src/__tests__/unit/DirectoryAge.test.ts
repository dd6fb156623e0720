import type {Instant} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionWatch} from '../../MinionDirectory.ts';

import {DirectoryAge} from '../../DirectoryAge.ts';

const SILENT_WATCH: MinionWatch = {
  close: () => undefined,
  currentAsOf: undefined,
  isFailing: false,
};

const at = (ms: number): Instant => ms as Instant;

/** Returns the largest age in milliseconds at which starts are sent, of those tried. */
function findOldest(drainMs: number): number {
  const age = new DirectoryAge(drainMs);
  age.finishListing(SILENT_WATCH, at(0));
  let oldestMs = 0;
  for (let ageMs = 0; ageMs <= 10_000; ageMs += 50) {
    if (!age.isOutdated(at(ageMs), at(ageMs))) {
      oldestMs = ageMs;
    }
  }
  return oldestMs;
}

describe('DirectoryAge', () => {
  it('outdates the view within the time for which a draining minion serves', () => {
    assert.equal(findOldest(500), 500);
    assert.equal(findOldest(1_500), 1_500);
  });

  it('outdates the view after 2 s where draining minions serve for as long or longer', () => {
    assert.equal(findOldest(2_000), 2_000);
    assert.equal(findOldest(4_000), 2_000);
  });

  it('does not outdate a view that is as young as can be', () => {
    assert.equal(findOldest(0), 200);
  });

  it('outdates the view before the first listing', () => {
    assert.equal(new DirectoryAge(2_000).isOutdated(at(0), at(0)), true);
  });

  it('keeps the view while the store is down, since no minion can report there', () => {
    const age = new DirectoryAge(500);
    age.finishListing({...SILENT_WATCH, isFailing: true}, at(0));
    assert.equal(age.isOutdated(at(400), at(3_000)), false);
    assert.equal(age.isOutdated(at(600), at(3_000)), true);
  });
});
