import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CRASH_PATTERNS, OftenCrashesPlay} from './OftenCrashes.ts';

const SEEDS = [1, 2];
const STORM_MS = 60_000;
const PLAY_MS = 80_000;

describe('Harmless tasks on minions that crash often by themselves', () => {
  for (const [name, pattern] of Object.entries(CRASH_PATTERNS)) {
    for (const isLasting of [false, true]) {
      for (const [deadlyJobs, deadlyAgeMs] of [
        [0, 0],
        [4, 0],
        [4, 1_400],
        [4, 3_000],
      ] as const) {
        const beside =
          deadlyJobs === 0 ? 'alone' : `beside tasks that do so after ${deadlyAgeMs} ms`;
        it(`(${name}) wait no longer than callers do, ${beside} (lasting: ${isLasting})`, () => {
          const waits = SEEDS.map((seed) => {
            const options = {deadlyAgeMs, deadlyJobs, isLasting, minions: 24, pattern, seed};
            const often = new OftenCrashesPlay({...options, untilMs: STORM_MS});
            often.play(PLAY_MS);
            return often.longestWaitMs;
          });
          assert.ok(
            Math.max(...waits) < DEFAULT_PLATFORM_BOUNDS.finishMs,
            `${waits.join(', ')} ms`,
          );
        });
      }
    }
  }

  it('(each in its turn) are not taken for deadly, eight of them, beside tasks that do so after 3000 ms', () => {
    const often = new OftenCrashesPlay({
      deadlyAgeMs: 3_000,
      deadlyJobs: 4,
      isLasting: true,
      minions: 8,
      pattern: CRASH_PATTERNS['each in its turn'] ?? (() => []),
      seed: 1,
      untilMs: STORM_MS,
    });
    often.play(PLAY_MS);
    assert.deepEqual([...often.misjudged], []);
    assert.ok(often.longestWaitMs < DEFAULT_PLATFORM_BOUNDS.finishMs);
  });
});
