import type {IncarnationId, Instant} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VouchRegistry} from '../../VouchRegistry.ts';

const MEMBER = brand<IncarnationId>('b-1');
const VOUCH_PERIOD_MS = 5_000;

function at(milliseconds: number): Instant {
  return milliseconds as Instant;
}

describe('VouchRegistry', () => {
  it('does not deny a member while an earlier vouch may still count', () => {
    const registry = new VouchRegistry(VOUCH_PERIOD_MS);
    assert.equal(registry.vouch(MEMBER, at(0)), true);
    assert.equal(registry.deny(MEMBER, at(VOUCH_PERIOD_MS)), false);
    assert.equal(registry.isDenied(MEMBER), false);
    assert.equal(registry.deny(MEMBER, at(2 * VOUCH_PERIOD_MS)), true);
  });

  it('never vouches for a denied member', () => {
    const registry = new VouchRegistry(VOUCH_PERIOD_MS);
    assert.equal(registry.deny(MEMBER, at(0)), true);
    assert.equal(registry.vouch(MEMBER, at(1)), false);
    assert.equal(registry.vouch(MEMBER, at(1_000_000)), false);
  });
});
