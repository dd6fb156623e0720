/** A series of samples in which older samples lose weight. */

import type {SeriesSummary} from '@nutmegproxy/schema';

/** Factor on the weight of earlier samples for each new one, since the entry may change. */
const DECAY = 0.98;

/** Exponentially weighted mean and variance of a series, and its decaying maximum. */
export class DecayingSeries {
  #count = 0;
  #largest = 0;
  #mean = 0;
  #variance = 0;
  #weight = 0;

  /** Number of samples added by `add` and `merge`, regardless of their present weight. */
  get count(): number {
    return this.#count;
  }

  add(sample: number): void {
    this.merge({count: 1, largest: sample, mean: sample, variance: 0});
  }

  /** Adds a later sample of a source that is already counted. */
  addUncounted(sample: number): void {
    this.add(sample);
    this.#count -= 1;
  }

  deviation(): number {
    return Math.sqrt(this.#variance);
  }

  largest(): number {
    return this.#largest;
  }

  mean(): number {
    return this.#mean;
  }

  /** Adds the samples of a summary, weighted by their number. */
  merge({count, largest, mean, variance}: SeriesSummary): void {
    if (count <= 0) {
      return;
    }
    const decay = DECAY ** count;
    const previousWeight = this.#weight * decay;
    this.#weight = previousWeight + count;
    this.#count += count;
    const difference = mean - this.#mean;
    const share = count / this.#weight;
    const within = (1 - share) * this.#variance + share * variance;
    this.#variance = within + share * (1 - share) * difference * difference;
    this.#mean += difference * share;
    this.#largest = Math.max(largest, this.#mean + (this.#largest - this.#mean) * decay);
  }

  summary(): SeriesSummary {
    return {
      count: this.#count,
      largest: this.#largest,
      mean: this.#mean,
      variance: this.#variance,
    };
  }
}
