import {DEFAULT_PLATFORM_BOUNDS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CRASH_PATTERNS, OftenCrashesPlay} from './OftenCrashes.ts';

const MINIONS = 24;
const SEEDS = [1, 2, 3, 4];
const STORM_MS = 60_000;
const PLAY_MS = 80_000;

describe('Harmless tasks on minions that crash often by themselves', () => {
  for (const [name, pattern] of Object.entries(CRASH_PATTERNS)) {
    for (const isLasting of [false, true]) {
      for (const [deadlyJobs, deadlyAgeMs] of [
        [0, 0],
        [4, 0],
        [4, 1_400],
      ] as const) {
        const beside =
          deadlyJobs === 0 ? 'alone' : `beside tasks that do so after ${deadlyAgeMs} ms`;
        it(`(${name}) wait no longer than callers do, ${beside} (lasting: ${isLasting})`, () => {
          const waits = SEEDS.map((seed) => {
            const options = {deadlyAgeMs, deadlyJobs, isLasting, minions: MINIONS, pattern, seed};
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
});
