/** One measurement: starts all processes, waits for a steady state and measures over a time window. */

import type {Catalogue} from '@nutmegproxy/schema';
import type {StoreCounters} from '@nutmegproxy/standins';

import {ProcessGroup} from '@nutmegproxy/proof';
import {setTimeout as sleep} from 'node:timers/promises';

import type {CapacityFigures, CapacityTotals} from './CapacityFigures.ts';
import type {CapacitySize} from './CapacitySize.ts';

import {
  DATA_CENTRE,
  LONG_WORK_MS,
  MS_PER_SECOND,
  OTHER_DATA_CENTRE_ENTRIES,
  POLL_MS,
  READY_TIMEOUT_MS,
  SECONDS_PER_MINUTE,
  SHORT_WORK_MS,
  TASK_ENTRY,
  TASKS_PER_JOB,
  TEAMS,
  TEAMS_PER_CHANGE,
} from './CapacityConstants.ts';
import {compareTotals} from './CapacityFigures.ts';
import {CapacityPlatform} from './CapacityPlatform.ts';
import {buildCatalogue} from './CatalogueModel.ts';
import {MeasuredEntry} from './MeasuredEntry.ts';
import {readLinkBytes} from './PeerSockets.ts';

export interface BenchTimes {
  readonly settleSeconds: number;
  readonly windowSeconds: number;
}

async function waitFor(description: string, condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (!(await condition().catch(() => false))) {
    if (Date.now() > deadline) {
      throw new Error(`timed out after ${READY_TIMEOUT_MS} ms waiting for ${description}`);
    }
    await sleep(POLL_MS);
  }
}

/** Calls `step` at a fixed rate; returns a function that stops it. */
function repeatAtRate(perSecond: number, step: () => Promise<void> | void): () => void {
  if (perSecond === 0) {
    return () => undefined;
  }
  const timer = setInterval(() => void step(), MS_PER_SECOND / perSecond);
  return () => {
    clearInterval(timer);
  };
}

export class CapacityBench {
  #entries: readonly MeasuredEntry[] = [];
  readonly #group = new ProcessGroup();
  readonly #platform = new CapacityPlatform();
  #refused = 0;
  #revision = 0;
  readonly #size: CapacitySize;

  constructor(size: CapacitySize) {
    this.#size = size;
  }

  /** Runs the measurement and stops all processes that it started. */
  async run({settleSeconds, windowSeconds}: BenchTimes): Promise<CapacityFigures> {
    const stops: (() => void)[] = [];
    try {
      await this.#start();
      stops.push(...this.#startLoad());
      await sleep(settleSeconds * MS_PER_SECOND);
      const before = this.#readTotals();
      await sleep(windowSeconds * MS_PER_SECOND);
      return compareTotals(before, this.#readTotals());
    } finally {
      stops.forEach((stop) => {
        stop();
      });
      await this.#group.close();
      await this.#platform.close();
    }
  }

  async #applyCatalogue(attempts: number, teams = TEAMS): Promise<boolean> {
    const catalogue: Catalogue = buildCatalogue(this.#size.catalogueEntries, attempts, teams);
    const body = {catalogue, expectedRevision: this.#revision};
    const response = await this.#entries[0]?.callOperatorApi(
      'POST',
      '/v1/catalogue?waitMs=0',
      body,
    );
    if (response?.status !== 200) {
      this.#refused += 1;
      return false;
    }
    this.#revision = (response.body as {revision: number}).revision;
    return true;
  }

  #readTotals(): CapacityTotals {
    return {
      at: performance.now(),
      entries: this.#entries.map(({totals}) => totals),
      fleet: this.#platform.fleet.counts,
      linkBytes: readLinkBytes(
        new Set(this.#entries.map(({peerAddress}) => Number(peerAddress.split(':')[1]))),
      ),
      refused: this.#refused,
      storeCalls: this.#platform.storeCalls satisfies StoreCounters,
    };
  }

  async #start(): Promise<void> {
    const {entries, otherDataCentres, runningTasks} = this.#size;
    await this.#platform.start(this.#size);
    await this.#startEntries(DATA_CENTRE, entries);
    for (let index = 1; index <= otherDataCentres; index += 1) {
      await this.#startEntries(`dc-other-${index}`, OTHER_DATA_CENTRE_ENTRIES);
    }
    for (let teams = TEAMS_PER_CHANGE; teams <= TEAMS; teams += TEAMS_PER_CHANGE) {
      await waitFor('the catalogue to be accepted', () => this.#applyCatalogue(1, teams));
    }
    for (const entry of this.#entries) {
      await waitFor('an entry VM to be ready', () => entry.isReady());
    }
    await this.#startTasks(runningTasks);
  }

  async #startEntries(dataCentre: string, count: number): Promise<void> {
    for (let index = 1; index <= count; index += 1) {
      const plan = {
        dataCentre,
        list: await this.#platform.openVmListEndpoint(),
        store: await this.#platform.openStoreEndpoint(),
        vm: `${dataCentre}-entry-${index}`,
      };
      const seeds = this.#entries.slice(0, 1).map(({peerAddress}) => peerAddress);
      const entry = await MeasuredEntry.start(this.#group, plan, seeds);
      this.#entries = [...this.#entries, entry];
    }
  }

  #startLoad(): readonly (() => void)[] {
    const {catalogueChangesPerMinute, listChanges, starts} = this.#size;
    const perJob = Math.max(1, Math.min(TASKS_PER_JOB, starts));
    let attempts = 1;
    return [
      repeatAtRate(listChanges, () => {
        this.#platform.changeVmList();
      }),
      repeatAtRate(starts / perJob, () =>
        this.#submit(perJob, SHORT_WORK_MS).then(() => undefined),
      ),
      repeatAtRate(catalogueChangesPerMinute / SECONDS_PER_MINUTE, async () => {
        attempts += 1;
        await this.#applyCatalogue(attempts);
      }),
    ];
  }

  async #startTasks(count: number): Promise<void> {
    for (let left = count; left > 0; left -= TASKS_PER_JOB) {
      const tasks = Math.min(left, TASKS_PER_JOB);
      await waitFor('a job to be accepted', () => this.#submit(tasks, LONG_WORK_MS));
    }
    await waitFor('the tasks to start', () =>
      Promise.resolve(this.#platform.fleet.counts.started >= count),
    );
  }

  async #submit(count: number, workMs: number): Promise<boolean> {
    const entry = this.#entries[0];
    const accepted = await entry?.submit(TASK_ENTRY, count, workMs).catch(() => false);
    this.#refused += accepted === true ? 0 : 1;
    return accepted === true;
  }
}
