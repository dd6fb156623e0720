/** Fault injection for the store stand-in. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Fault settings; an omitted field is left unchanged. */
export interface StoreFaultSettings {
  /** Delay before each call is executed. */
  readonly delayMs?: number;
  /** Calls have no effect and get no response. */
  readonly down?: boolean;
  /** Number of next calls whose responses are lost after execution. */
  readonly loseNext?: number;
  /** Share of the responses that are lost after execution, 0 to 1. */
  readonly loseShare?: number;
  readonly seed?: number;
}

/** The active faults; `shouldDropResponse` decides per call. */
export class StoreFaults {
  delayMs = 0;
  down = false;
  loseNext = 0;
  loseShare = 0;
  /** Called after each change. */
  onChange: () => void = () => undefined;
  #random: RandomGenerator = xoroshiro128plus(1);

  change(settings: StoreFaultSettings): void {
    this.delayMs = settings.delayMs ?? this.delayMs;
    this.down = settings.down ?? this.down;
    this.loseNext = settings.loseNext ?? this.loseNext;
    this.loseShare = settings.loseShare ?? this.loseShare;
    if (settings.seed !== undefined) {
      this.#random = xoroshiro128plus(settings.seed);
    }
    this.onChange();
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
