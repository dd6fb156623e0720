/**
 * Measures one entry VM: the latency that it adds compared with direct calls in the same run, and
 * its processor time per request.
 */

import type {Scenario} from '@nutmegproxy/schema';
import type {Histogram} from 'hdr-histogram-js';

import {SERVICE_TIME_HEADER} from '@nutmegproxy/standins';
import {build} from 'hdr-histogram-js';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';

import type {Arrival} from './Arrivals.ts';

import {drawArrivals} from './Arrivals.ts';
import {LoadCluster} from './LoadCluster.ts';
import {readProcessorSeconds} from './ProcessorTime.ts';

const BENCH_CALLERS = 24;
const BENCH_SATURATION_MS = 6000;
const BENCH_SERVICE_MS = 10;

const BENCH_SCENARIO: Scenario = {
  connections: 64,
  deployment: 'oportuna',
  description: 'One entry VM and three minions at half load.',
  durationMs: 20_000,
  entryVms: 1,
  load: 0.5,
  minions: 3,
  name: 'bench',
  slots: 8,
  traffic: [
    {
      class: 'latency-critical',
      entry: 'bench',
      serviceMs: BENCH_SERVICE_MS,
      share: 1,
      timeoutMs: 10_000,
    },
  ],
  warmUpMs: 4000,
};

/** Results of one run. */
export interface RequestBenchFigures {
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly directP50Ms: number;
  readonly directP99Ms: number;
  readonly failed: number;
  readonly proxiedP50Ms: number;
  readonly proxiedP99Ms: number;
  readonly requestsPerProcessorSecond: number;
  readonly requestsPerSecond: number;
}

/** Sends one request and reads the response; returns false if no minion served it. */
async function sendRequest(agent: Agent, url: string, serviceMs: number): Promise<boolean> {
  try {
    const response = await request(url, {
      body: 'work',
      dispatcher: agent,
      headers: {[SERVICE_TIME_HEADER]: String(serviceMs)},
      method: 'POST',
    });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}

/** Sends requests alternately through the entry VM and directly to a minion. */
class PairedRequests {
  readonly #agent = new Agent({connections: null, pipelining: 1});
  readonly #cluster: LoadCluster;
  readonly direct = build();
  failed = 0;
  readonly #pending = new Set<Promise<void>>();
  readonly proxied = build();

  constructor(cluster: LoadCluster) {
    this.#cluster = cluster;
  }

  async run(arrivals: readonly Arrival[], warmUpMs: number): Promise<void> {
    const startMs = performance.now();
    for (const [index, {atMs}] of arrivals.entries()) {
      const waitMs = startMs + atMs - performance.now();
      if (waitMs > 0) {
        await sleep(waitMs);
      }
      const pending = this.#send(index, atMs >= warmUpMs).finally(() =>
        this.#pending.delete(pending),
      );
      this.#pending.add(pending);
    }
    await Promise.all(this.#pending);
    await this.#agent.destroy();
  }

  async #send(index: number, isMeasured: boolean): Promise<void> {
    const isDirect = index % 2 === 0;
    const {entries, minions} = this.#cluster;
    const minion = minions[(index / 2) % minions.length]?.url ?? '';
    const url = isDirect ? `${minion}/run` : `${entries[0]?.callerUrl ?? ''}/entries/bench/run`;
    const sentMs = performance.now();
    const isAnswered = await sendRequest(this.#agent, url, BENCH_SERVICE_MS);
    this.failed += isAnswered ? 0 : 1;
    if (isMeasured && isAnswered) {
      const histogram = isDirect ? this.direct : this.proxied;
      histogram.recordValue(Math.round((performance.now() - sentMs) * 1000));
    }
  }
}

/** Sends requests back to back from several callers; returns their number and processor seconds. */
async function saturate(url: string, pid: number): Promise<{processorS: number; sent: number}> {
  const agent = new Agent({connections: null, pipelining: 1});
  const endMs = performance.now() + BENCH_SATURATION_MS;
  const before = readProcessorSeconds(pid);
  let sent = 0;
  const callers = Array.from({length: BENCH_CALLERS}, async () => {
    while (performance.now() < endMs) {
      const answered = await sendRequest(agent, url, 0);
      sent += answered ? 1 : 0;
    }
  });
  await Promise.all(callers);
  await agent.destroy();
  return {processorS: readProcessorSeconds(pid) - before, sent};
}

function readMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1000;
}

/** Runs one measurement with a new cluster. */
export async function measureEntry(seed: number): Promise<RequestBenchFigures> {
  const cluster = new LoadCluster(BENCH_SCENARIO);
  try {
    await cluster.start({});
    const requests = new PairedRequests(cluster);
    await requests.run(drawArrivals(BENCH_SCENARIO, seed), BENCH_SCENARIO.warmUpMs);
    const [entry] = cluster.entries;
    const url = `${entry?.callerUrl ?? ''}/entries/bench/run`;
    const {processorS, sent} = await saturate(url, entry?.process?.pid ?? 0);
    const [directP50Ms, directP99Ms] = [50, 99].map((each) => readMs(requests.direct, each));
    const [proxiedP50Ms, proxiedP99Ms] = [50, 99].map((each) => readMs(requests.proxied, each));
    return {
      addedP50Ms: (proxiedP50Ms ?? 0) - (directP50Ms ?? 0),
      addedP99Ms: (proxiedP99Ms ?? 0) - (directP99Ms ?? 0),
      directP50Ms: directP50Ms ?? 0,
      directP99Ms: directP99Ms ?? 0,
      failed: requests.failed,
      proxiedP50Ms: proxiedP50Ms ?? 0,
      proxiedP99Ms: proxiedP99Ms ?? 0,
      requestsPerProcessorSecond: sent / processorS,
      requestsPerSecond: (1000 * sent) / BENCH_SATURATION_MS,
    };
  } finally {
    await cluster.close();
  }
}

/** Runs the measurement for one or more seeds and prints the results. */
export async function runBench(options: {
  readonly json: boolean;
  readonly seed: number;
  readonly seeds: number;
}): Promise<void> {
  const figures: RequestBenchFigures[] = [];
  for (let index = 0; index < options.seeds; index += 1) {
    figures.push(await measureEntry(options.seed + index));
  }
  if (options.json) {
    console.log(JSON.stringify({figures, seed: options.seed}));
  } else {
    console.table(figures);
  }
}
