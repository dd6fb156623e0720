/** What runs of one catalogue entry have shown about its size and run time. */

import type {EntrySummary, Resources} from '@nutmegproxy/schema';

import {DecayingSeries} from './DecayingSeries.ts';
import {maxResources, minResources, scaleResources} from './ResourcesUtils.ts';

/** Reports of this many attempts are needed before the declared size is trusted as a bound. */
const MIN_TRUSTED_ATTEMPTS = 3;
/** Declared sizes are off by up to this factor; an unknown entry reserves as much. */
const UNKNOWN_SIZE_FACTOR = 4;
/** Deviations above the mean that a reservation covers. */
const SIZE_DEVIATIONS = 2;
/** A reservation needs no more than this above the largest recent sample. */
const LARGEST_SAMPLE_FACTOR = 1.1;

/** The part of a summary that an estimate gives. */
export type EstimateSummary = Pick<EntrySummary, 'cpu' | 'logRunTime' | 'memoryMb'>;

function upperBound(series: DecayingSeries): number {
  const spread = series.mean() + SIZE_DEVIATIONS * series.deviation();
  return Math.min(spread, series.largest() * LARGEST_SAMPLE_FACTOR);
}

/** Learns from the peaks of attempts and from run times; the declared values are the prior. */
export class EntryEstimate {
  readonly #cpu = new DecayingSeries();
  readonly #logRunTime = new DecayingSeries();
  readonly #memoryMb = new DecayingSeries();

  /** Adds the first usage that an attempt has shown. */
  addFirstUsage(cpu: number, memoryMb: number): void {
    this.#cpu.add(cpu);
    this.#memoryMb.add(memoryMb);
  }

  /** Adds a higher usage of an attempt that was added before; it counts as no further attempt. */
  addUsageIncrease(cpu: number, memoryMb: number): void {
    this.#cpu.addUncounted(cpu);
    this.#memoryMb.addUncounted(memoryMb);
  }

  addRunTime(runTimeMs: number): void {
    this.#logRunTime.add(Math.log(Math.max(1, runTimeMs)));
  }

  /** Adds what was learned elsewhere. */
  merge({cpu, logRunTime, memoryMb}: EstimateSummary): void {
    this.#cpu.merge(cpu);
    this.#logRunTime.merge(logRunTime);
    this.#memoryMb.merge(memoryMb);
  }

  /** Amount that the entry is known to need: the declared size, or more when runs have used more. */
  expectedSize(declared: Resources): Resources {
    if (this.#cpu.count < MIN_TRUSTED_ATTEMPTS) {
      return declared;
    }
    return maxResources(declared, {
      accelerators: declared.accelerators,
      cpu: upperBound(this.#cpu),
      memoryMb: upperBound(this.#memoryMb),
    });
  }

  /**
   * Amount to reserve: never below the declared size, above it when runs have used more. An entry
   * that has shown too little reserves as much as declarations are known to be off, within `largest`.
   */
  reservation(declared: Resources, largest: Resources): Resources {
    if (this.#cpu.count < MIN_TRUSTED_ATTEMPTS) {
      const scaled = scaleResources(declared, UNKNOWN_SIZE_FACTOR);
      return maxResources(declared, minResources(scaled, largest));
    }
    return this.expectedSize(declared);
  }

  /** Median run time in milliseconds. */
  runTimeMs(declaredRunTimeMs: number): number {
    return this.#logRunTime.count === 0 ? declaredRunTimeMs : Math.exp(this.#logRunTime.mean());
  }

  summary(): EstimateSummary {
    return {
      cpu: this.#cpu.summary(),
      logRunTime: this.#logRunTime.summary(),
      memoryMb: this.#memoryMb.summary(),
    };
  }
}
