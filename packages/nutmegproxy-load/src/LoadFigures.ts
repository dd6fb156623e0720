/** Records the results of one run by work class, as measured by the callers. */

import type {WorkClass} from '@nutmegproxy/schema';
import type {Histogram} from 'hdr-histogram-js';

import {build} from 'hdr-histogram-js';

import {HIGHEST_LATENCY_US, PROMPT_REFUSAL_MS, TIMELINE_STEP_MS} from './LoadConstants.ts';

/**
 * The outcome of a request for its caller. `unreachable`: the connection failed; `unknown`: the
 * outcome is unknown or the response was incomplete; `cancelled`: the caller cancelled the request.
 */
export type CallOutcome = 'answered' | 'cancelled' | 'not-run' | 'unknown' | 'unreachable';

/** One request as measured by its caller; times are in ms. */
export interface CallRecord {
  readonly class: WorkClass;
  /** Time from the intended send time to completion. */
  readonly elapsedMs: number;
  /** Intended send time, counted from the end of the warm-up. */
  readonly intendedMs: number;
  readonly onTime: boolean;
  readonly outcome: CallOutcome;
  /** Whether the response has a `retry-after` header. */
  readonly retryAfter: boolean;
}

/** Latencies of the requests whose intended send time falls into one time step. */
export interface TimelinePoint {
  readonly atMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Results of one work class in one run. */
export interface ClassFigures {
  readonly answered: number;
  readonly cancelled: number;
  readonly notRun: number;
  /** Refusals without a `retry-after` header. */
  readonly notRunBare: number;
  /** Refusals that took longer than `PROMPT_REFUSAL_MS`. */
  readonly notRunLate: number;
  /** Share of the requests, excluding cancelled ones, that were answered within their deadline. */
  readonly onTimeShare: number;
  readonly p50Ms: number;
  readonly p999Ms: number;
  readonly p99Ms: number;
  readonly percentiles: readonly number[];
  readonly refusalP50Ms: number;
  readonly refusalP99Ms: number;
  readonly sent: number;
  readonly timeline: readonly TimelinePoint[];
  readonly unknown: number;
  readonly unreachable: number;
}

/** Percentiles of the distribution plot. */
export const PLOT_PERCENTILES = [0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100];

function createHistogram(): Histogram {
  return build({highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 3});
}

function recordLatency(histogram: Histogram, elapsedMs: number): void {
  const us = Math.max(1, Math.round(elapsedMs * 1000));
  histogram.recordValue(Math.min(HIGHEST_LATENCY_US, us));
}

function readMs(histogram: Histogram, percentile: number): number {
  const us = histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile);
  return us / 1000;
}

/** Collects the records of one class. */
class ClassRecorder {
  readonly #answerLatencies = createHistogram();
  readonly #counts: Record<CallOutcome, number> = {
    answered: 0,
    cancelled: 0,
    'not-run': 0,
    unknown: 0,
    unreachable: 0,
  };
  #notRunBare = 0;
  #notRunLate = 0;
  #onTime = 0;
  readonly #refusalLatencies = createHistogram();
  readonly #timelineSteps = new Map<number, Histogram>();

  add({elapsedMs, intendedMs, onTime, outcome: ending, retryAfter}: CallRecord): void {
    this.#counts[ending] += 1;
    this.#onTime += onTime ? 1 : 0;
    if (ending === 'not-run') {
      recordLatency(this.#refusalLatencies, elapsedMs);
      this.#notRunBare += retryAfter ? 0 : 1;
      this.#notRunLate += elapsedMs > PROMPT_REFUSAL_MS ? 1 : 0;
    }
    if (ending === 'answered') {
      recordLatency(this.#answerLatencies, elapsedMs);
      recordLatency(this.#getTimelineStep(intendedMs), elapsedMs);
    }
  }

  read(): ClassFigures {
    const counts = this.#counts;
    const sent = Object.values(counts).reduce((sum, count) => sum + count, 0);
    return {
      answered: counts.answered,
      cancelled: counts.cancelled,
      notRun: counts['not-run'],
      notRunBare: this.#notRunBare,
      notRunLate: this.#notRunLate,
      onTimeShare: this.#onTime / Math.max(1, sent - counts.cancelled),
      p50Ms: readMs(this.#answerLatencies, 50),
      p999Ms: readMs(this.#answerLatencies, 99.9),
      p99Ms: readMs(this.#answerLatencies, 99),
      percentiles: PLOT_PERCENTILES.map((each) => readMs(this.#answerLatencies, each)),
      refusalP50Ms: readMs(this.#refusalLatencies, 50),
      refusalP99Ms: readMs(this.#refusalLatencies, 99),
      sent,
      timeline: this.#readTimeline(),
      unknown: counts.unknown,
      unreachable: counts.unreachable,
    };
  }

  #readTimeline(): TimelinePoint[] {
    return [...this.#timelineSteps]
      .sort(([a], [b]) => a - b)
      .map(([step, histogram]) => ({
        atMs: step * TIMELINE_STEP_MS,
        p50Ms: readMs(histogram, 50),
        p99Ms: readMs(histogram, 99),
      }));
  }

  #getTimelineStep(intendedMs: number): Histogram {
    const step = Math.floor(intendedMs / TIMELINE_STEP_MS);
    const histogram = this.#timelineSteps.get(step) ?? createHistogram();
    this.#timelineSteps.set(step, histogram);
    return histogram;
  }
}

/** Collects the records of all work classes in one run. */
export class LoadRecorder {
  readonly #classes = new Map<WorkClass, ClassRecorder>();

  add(call: CallRecord): void {
    const recorder = this.#classes.get(call.class) ?? new ClassRecorder();
    this.#classes.set(call.class, recorder);
    recorder.add(call);
  }

  read(): ReadonlyMap<WorkClass, ClassFigures> {
    return new Map([...this.#classes].map(([name, recorder]) => [name, recorder.read()]));
  }
}
