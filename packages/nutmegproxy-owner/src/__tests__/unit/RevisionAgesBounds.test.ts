/** Ages of revisions that no owner would store. */

import type {Instant} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {RevisionAges} from '../../RevisionAges.ts';
import {RevisionLog} from '../../RevisionLog.ts';

const NOW = 100_000 as Instant;
/** Longest age that an owner passes on. */
const MAX_AGE_MS = 20_000;

describe('Ages of revisions that a record names', () => {
  // Guards against work that passes all its waits at once by what a malformed record says.
  it('are no longer than the longest that an owner passes on', () => {
    for (const ageMs of [MAX_AGE_MS + 1, 1e12, Number.MAX_VALUE]) {
      const ages = new RevisionAges(new RevisionLog(), [[7, ageMs]], NOW);
      const seenAt = ages.findSeenAt(7, NOW);
      assert.ok(seenAt >= NOW - MAX_AGE_MS, `${seenAt}`);
    }
  });
});
