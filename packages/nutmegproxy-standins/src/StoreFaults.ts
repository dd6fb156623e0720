/** Fault injection for the store stand-in. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {MAX_LATENESS_MS, MIN_LATENESS_MS} from './StandinsConstants.ts';

/** Fault settings; an omitted field is left unchanged. */
export interface StoreFaultSettings {
  /** Delay before each call is executed. */
  readonly delayMs?: number;
  /** Calls have no effect and get no response. */
  readonly down?: boolean;
  /**
   * Share of the calls that change the store which are carried out 1 to 6 s late and get no response,
   * 0 to 1; only `MemoryStore` simulates it.
   */
  readonly lateShare?: number;
  /** Number of next calls whose responses are lost after execution. */
  readonly loseNext?: number;
  /** Share of the responses that are lost after execution, 0 to 1. */
  readonly loseShare?: number;
  readonly seed?: number;
}

/** The active faults; `drawLatenessMs` and `shouldDropResponse` decide per call. */
export class StoreFaults {
  delayMs = 0;
  down = false;
  lateShare = 0;
  loseNext = 0;
  loseShare = 0;
  /** Called after each change. */
  onChange: () => void = () => undefined;
  #random: RandomGenerator = xoroshiro128plus(1);

  change(settings: StoreFaultSettings): void {
    this.delayMs = settings.delayMs ?? this.delayMs;
    this.down = settings.down ?? this.down;
    this.lateShare = settings.lateShare ?? this.lateShare;
    this.loseNext = settings.loseNext ?? this.loseNext;
    this.loseShare = settings.loseShare ?? this.loseShare;
    if (settings.seed !== undefined) {
      this.#random = xoroshiro128plus(settings.seed);
    }
    this.onChange();
  }

  /** Returns by how many milliseconds the current change of the store is late; 0 if it is not. */
  drawLatenessMs(): number {
    if (this.lateShare === 0 || uniformFloat64(this.#random) >= this.lateShare) {
      return 0;
    }
    return MIN_LATENESS_MS + uniformFloat64(this.#random) * (MAX_LATENESS_MS - MIN_LATENESS_MS);
  }

  /** Whether the response of the current call is lost. */
  shouldDropResponse(): boolean {
    if (this.loseNext > 0) {
      this.loseNext -= 1;
      return true;
    }
    return this.loseShare > 0 && uniformFloat64(this.#random) < this.loseShare;
  }
}
