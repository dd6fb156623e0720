/** What runs of one catalogue entry have shown about its size and run time. */

import type {Resources} from '@nutmegproxy/schema';

import {maxResources, minResources, scaleResources} from './ResourcesUtils.ts';

/** Weight that each later sample leaves to the earlier ones: the past fades as the entry changes. */
const FADE = 0.98;
/** Reports of this many attempts are needed before the declared size is trusted as a bound. */
const TRUSTED_SAMPLES = 3;
/** Declared sizes are off by up to this factor; an unknown entry reserves as much. */
const UNKNOWN_SIZE_FACTOR = 4;
/** Deviations above the mean that a reservation covers. */
const SIZE_DEVIATIONS = 2;
/** A reservation needs no more than this above the largest recent sample. */
const LARGEST_SAMPLE_FACTOR = 1.1;

/** Mean and variance of a fading series, and its fading maximum. */
export class FadingSeries {
  #largest = 0;
  #mean = 0;
  #variance = 0;
  #weight = 0;

  add(sample: number): void {
    this.#weight = this.#weight * FADE + 1;
    const difference = sample - this.#mean;
    const share = 1 / this.#weight;
    this.#mean += difference * share;
    this.#variance = (1 - share) * (this.#variance + share * difference * difference);
    this.#largest = Math.max(sample, this.#mean + (this.#largest - this.#mean) * FADE);
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
}

function bound(series: FadingSeries): number {
  const spread = series.mean() + SIZE_DEVIATIONS * series.deviation();
  return Math.min(spread, series.largest() * LARGEST_SAMPLE_FACTOR);
}

/** Learns from the peaks of attempts and from run times; the declared values are the prior. */
export class EntryEstimate {
  readonly #cpu = new FadingSeries();
  readonly #logRunTime = new FadingSeries();
  readonly #memoryMb = new FadingSeries();
  #runs = 0;
  #samples = 0;

  /** Adds the largest usage that one attempt has shown. */
  addPeak(cpu: number, memoryMb: number): void {
    this.#samples += 1;
    this.#cpu.add(cpu);
    this.#memoryMb.add(memoryMb);
  }

  addRunTime(runTimeMs: number): void {
    this.#runs += 1;
    this.#logRunTime.add(Math.log(Math.max(1, runTimeMs)));
  }

  /**
   * Amount to reserve: never below the declared size, above it when runs have used more. An entry
   * that has shown too little reserves as much as declarations are known to be off, within `largest`.
   */
  reservation(declared: Resources, largest: Resources): Resources {
    if (this.#samples < TRUSTED_SAMPLES) {
      const cautious = scaleResources(declared, UNKNOWN_SIZE_FACTOR);
      return maxResources(declared, minResources(cautious, largest));
    }
    return maxResources(declared, {
      accelerators: declared.accelerators,
      cpu: bound(this.#cpu),
      memoryMb: bound(this.#memoryMb),
    });
  }

  /** Median run time in milliseconds. */
  runTimeMs(declaredRunTimeMs: number): number {
    return this.#runs === 0 ? declaredRunTimeMs : Math.exp(this.#logRunTime.mean());
  }
}
