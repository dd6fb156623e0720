import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {chooseTakeoverDelayMs, shouldHandOver} from '../../OwnerPreference.ts';

/** Random delay that spreads the attempts of equally preferred VMs. */
const SPREAD_MS = 150;

describe('chooseTakeoverDelayMs', () => {
  it('lets the largest VMs try at once and delays smaller ones', () => {
    assert.equal(chooseTakeoverDelayMs(1.35, [0.324, 1.35]), 0);
    assert.ok(chooseTakeoverDelayMs(0.324, [0.324, 1.35]) > SPREAD_MS);
    assert.equal(chooseTakeoverDelayMs(0.324, [0.324, 0.33]), 0);
  });

  it('delays small VMs more than large ones while they know no other VM', () => {
    assert.ok(chooseTakeoverDelayMs(0.324, []) > chooseTakeoverDelayMs(1.35, []) + SPREAD_MS);
  });
});

describe('shouldHandOver', () => {
  it('hands over to a larger VM, but not in quick succession', () => {
    assert.equal(shouldHandOver(0.324, [1.35], 60_000), true);
    assert.equal(shouldHandOver(0.324, [1.35], 1_000), false);
    assert.equal(shouldHandOver(1.35, [0.324, 1.35], 60_000), false);
  });
});
