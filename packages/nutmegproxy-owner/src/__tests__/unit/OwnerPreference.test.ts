import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {chooseTakeoverDelayMs, shouldHandOver} from '../../OwnerPreference.ts';

/** Spread of the tries of VMs that suit alike, in milliseconds. */
const SPREAD_MS = 150;

describe('choosePreferenceMs', () => {
  it('lets the largest VMs try at once, and the others once these had their time', () => {
    assert.equal(chooseTakeoverDelayMs(1.35, [0.324, 1.35]), 0);
    assert.ok(chooseTakeoverDelayMs(0.324, [0.324, 1.35]) > SPREAD_MS);
    assert.equal(chooseTakeoverDelayMs(0.324, [0.324, 0.33]), 0);
  });

  it('keeps small VMs behind large ones before they know of each other', () => {
    assert.ok(chooseTakeoverDelayMs(0.324, []) > chooseTakeoverDelayMs(1.35, []) + SPREAD_MS);
  });
});

describe('shouldHandOver', () => {
  it('gives way to a larger VM, but not in quick succession', () => {
    assert.equal(shouldHandOver(0.324, [1.35], 60_000), true);
    assert.equal(shouldHandOver(0.324, [1.35], 1_000), false);
    assert.equal(shouldHandOver(1.35, [0.324, 1.35], 60_000), false);
  });
});
