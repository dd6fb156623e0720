/** Size and run time of a catalogue entry, estimated from its runs. */

import type {EntrySummary, Resources} from '@nutmegproxy/schema';

import {DecayingSeries} from './DecayingSeries.ts';
import {maxResources, minResources, scaleResources} from './ResourcesUtils.ts';

/** Number of attempts with reports before the estimate replaces the safety margin. */
const MIN_TRUSTED_ATTEMPTS = 3;
/** Safety margin of unknown entries, since declared sizes can be too small by this factor. */
const UNKNOWN_SIZE_FACTOR = 4;
/** Standard deviations above the mean that a reservation covers. */
const SIZE_DEVIATIONS = 2;
/** Upper bound of a reservation, as a factor on the largest recent sample. */
const LARGEST_SAMPLE_FACTOR = 1.1;

/** The part of an entry's summary that the estimate provides. */
export type EstimateSummary = Pick<EntrySummary, 'cpu' | 'logRunTime' | 'memoryMb'>;

function upperBound(series: DecayingSeries): number {
  const spread = series.mean() + SIZE_DEVIATIONS * series.deviation();
  return Math.min(spread, series.largest() * LARGEST_SAMPLE_FACTOR);
}

/** Learns from attempts' peak usage and run times, starting from the declared values. */
export class EntryEstimate {
  readonly #cpu = new DecayingSeries();
  readonly #logRunTime = new DecayingSeries();
  readonly #memoryMb = new DecayingSeries();

  /** Adds the first reported usage of an attempt. */
  addFirstUsage(cpu: number, memoryMb: number): void {
    this.#cpu.add(cpu);
    this.#memoryMb.add(memoryMb);
  }

  /** Adds a higher usage of an attempt already counted. */
  addUsageIncrease(cpu: number, memoryMb: number): void {
    this.#cpu.addUncounted(cpu);
    this.#memoryMb.addUncounted(memoryMb);
  }

  addRunTime(runTimeMs: number): void {
    this.#logRunTime.add(Math.log(Math.max(1, runTimeMs)));
  }

  /** Adds a summary from a peer. */
  merge({cpu, logRunTime, memoryMb}: EstimateSummary): void {
    this.#cpu.merge(cpu);
    this.#logRunTime.merge(logRunTime);
    this.#memoryMb.merge(memoryMb);
  }

  /** Returns the expected size: the declared one, or more when runs have used more. */
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
   * Returns the amount to reserve: the expected size, or for an entry with too few reports the
   * declared size with a safety margin, up to `largest`. Never below the declared size.
   */
  reservation(declared: Resources, largest: Resources): Resources {
    if (this.#cpu.count < MIN_TRUSTED_ATTEMPTS) {
      const scaled = scaleResources(declared, UNKNOWN_SIZE_FACTOR);
      return maxResources(declared, minResources(scaled, largest));
    }
    return this.expectedSize(declared);
  }

  /** Returns the estimated median run time in milliseconds. */
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
