/** Operators that change the catalogue concurrently, and a poller that records what each VM shows. */

import type {Catalogue} from '@nutmegproxy/schema';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {ListedChange} from './History.ts';
import type {TestCluster} from './TestCluster.ts';
import type {CatalogueResponse, TestEntry} from './TestEntry.ts';

import {CATALOGUE_POLL_INTERVAL_MS, DECLARED_RESOURCES} from './RunConstants.ts';
import {pick} from './TestCluster.ts';

const MAX_READ_ATTEMPTS = 100;
const READ_PAUSE_MS = 200;

interface ChangeResponse {
  /** Absent when the catalogue was already in force, so that nothing changed. */
  readonly change?: string;
  readonly revision: number;
}

/** Creates the catalogue of the runs; operators vary only the queue length. */
export function createCatalogue(queue: number): Catalogue {
  const request = {
    class: 'latency-critical',
    kind: 'request',
    owner: 'desk',
    service: 'mesa',
  } as const;
  const limits = {queue, timeoutMs: 3_000};
  const task = {checkpoint: true, class: 'batch', kind: 'task', owner: 'desk'} as const;
  return {
    entries: [
      {...request, id: 'alert', limits},
      {...request, id: 'proof', idempotent: true, limits},
      {...task, id: 'digest', limits: {attempts: 50, ...DECLARED_RESOURCES.digest, runTimeMs: 600}},
      {
        ...task,
        checkpoint: false,
        id: 'retouch',
        limits: {attempts: 50, ...DECLARED_RESOURCES.retouch, runTimeMs: 600},
      },
      {
        ...task,
        class: 'latency-critical',
        id: 'urgent',
        limits: {attempts: 50, ...DECLARED_RESOURCES.urgent, runTimeMs: 300},
      },
    ],
    teams: [{id: 'desk', quota: {cpu: 200, requests: 200}}],
  };
}

export class CatalogueWorkload {
  accepted = 0;
  refused = 0;
  readonly #cluster: TestCluster;

  constructor(cluster: TestCluster) {
    this.#cluster = cluster;
  }

  /** Changes the catalogue through one VM, expecting the revision that this VM shows. */
  async changeCatalogue(entry: TestEntry, queue: number): Promise<boolean> {
    const before = (await entry.callOperatorApi('GET', '/v1/catalogue')) as
      CatalogueResponse | undefined;
    if (before === undefined) {
      return false;
    }
    const response = (await entry.callOperatorApi('POST', '/v1/catalogue?waitMs=0', {
      catalogue: createCatalogue(queue),
      expectedRevision: before.revision,
    })) as ChangeResponse | undefined;
    if (response === undefined) {
      this.refused += 1;
      return false;
    }
    const {change, revision} = response;
    if (change === undefined) {
      return true;
    }
    this.accepted += 1;
    this.#cluster.recorder.add('accepted', {at: Date.now(), change, revision});
    return true;
  }

  /** Records the catalogue that each VM shows, until `isOver`. */
  async pollCatalogues(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await Promise.all(this.#cluster.entries.map((entry) => this.#pollEntry(entry)));
      await sleep(CATALOGUE_POLL_INTERVAL_MS);
    }
  }

  async changeRepeatedly(random: RandomGenerator, isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.changeCatalogue(pick(random, this.#cluster.entries), uniformInt(random, 20, 120));
      await sleep(uniformInt(random, 200, 900));
    }
  }

  /** Records the catalogue history after the faults; returns false if no VM returns it. */
  async recordHistory(): Promise<boolean> {
    for (let tries = 0; tries < MAX_READ_ATTEMPTS; tries += 1) {
      const entry = this.#cluster.entries[tries % this.#cluster.entries.length];
      const response = (await entry?.callOperatorApi('GET', '/v1/catalogue/history')) as
        undefined | {readonly changes: readonly ListedChange[]};
      if (response !== undefined) {
        this.#cluster.recorder.add('listedChanges', ...response.changes);
        return true;
      }
      await sleep(READ_PAUSE_MS);
    }
    return false;
  }

  async #pollEntry(entry: TestEntry): Promise<void> {
    const process = String(entry.process?.pid);
    const shown = (await entry.callOperatorApi('GET', '/v1/catalogue')) as
      CatalogueResponse | undefined;
    if (shown !== undefined && String(entry.process?.pid) === process) {
      const digest = JSON.stringify(shown.catalogue);
      const {revision} = shown;
      this.#cluster.recorder.add('seen', {at: Date.now(), digest, process, revision, vm: entry.vm});
    }
  }
}
