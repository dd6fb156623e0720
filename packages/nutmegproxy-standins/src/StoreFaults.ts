/** Faults of the stand-in for the store. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Settings of the faults; a field that is missing stays as it is. */
export interface StoreFaultSettings {
  /** Delay before each answer. */
  readonly delayMs?: number;
  /** No call has an effect or an answer. */
  readonly down?: boolean;
  /** Answers that get lost after the effect: the next so many. */
  readonly loseNext?: number;
  /** Share of the answers that get lost after the effect, 0 to 1. */
  readonly loseShare?: number;
  readonly seed?: number;
}

/** The faults in force; `losesAnswer` decides per call. */
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

  /** Whether the answer of the present call gets lost. */
  shouldDropResponse(): boolean {
    if (this.loseNext > 0) {
      this.loseNext -= 1;
      return true;
    }
    return this.loseShare > 0 && uniformFloat64(this.#random) < this.loseShare;
  }
}
