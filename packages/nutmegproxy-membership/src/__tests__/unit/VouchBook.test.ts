import type {IncarnationId, Instant} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VouchBook} from '../../VouchBook.ts';

const MEMBER = brand<IncarnationId>('b-1');
const VOUCH_PERIOD_MS = 5_000;

function at(milliseconds: number): Instant {
  return milliseconds as Instant;
}

describe('VouchBook', () => {
  it('denies nobody while its own vouch may still count', () => {
    const book = new VouchBook(VOUCH_PERIOD_MS);
    assert.equal(book.vouch(MEMBER, at(0)), true);
    assert.equal(book.deny(MEMBER, at(VOUCH_PERIOD_MS)), false);
    assert.equal(book.denies(MEMBER), false);
    assert.equal(book.deny(MEMBER, at(2 * VOUCH_PERIOD_MS)), true);
  });

  it('vouches never again for one that it has denied', () => {
    const book = new VouchBook(VOUCH_PERIOD_MS);
    assert.equal(book.deny(MEMBER, at(0)), true);
    assert.equal(book.vouch(MEMBER, at(1)), false);
    assert.equal(book.vouch(MEMBER, at(1_000_000)), false);
  });
});
