/** The system under test: entry VMs in two data centres, their platform, and a history recorder. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {Outage} from './History.ts';
import type {Endpoint} from './TestNetwork.ts';

import {HistoryRecorder} from './HistoryRecorder.ts';
import {ProcessGroup} from './ProcessGroup.ts';
import {PLATFORM_SIZE} from './RunConstants.ts';
import {TestEntry} from './TestEntry.ts';
import {TestPlatform} from './TestPlatform.ts';
import {waitUntil} from './WaitUtils.ts';

type OutageKind = 'absences' | 'blindTimes' | 'storeFaults';

const ENTRIES: Readonly<Record<string, readonly string[]>> = {
  'dc-a': ['a1', 'a2', 'a3'],
  'dc-b': ['b1', 'b2'],
};

export class TestCluster {
  readonly entries: readonly TestEntry[];
  readonly #group = new ProcessGroup();
  /** Minions announced as leaving, at most one in each data centre. */
  readonly departedMinions = new Set<string>();
  readonly #locks = new Map<string, Promise<void>>();
  readonly platform = new TestPlatform({...PLATFORM_SIZE, dataCentres: Object.keys(ENTRIES)});
  readonly recorder = new HistoryRecorder();

  constructor() {
    this.entries = Object.entries(ENTRIES).flatMap(([dataCentre, vms]) =>
      vms.map((vm) => new TestEntry(vm, this.#group, this.platform, dataCentre)),
    );
  }

  async close(): Promise<void> {
    await this.#group.close();
    await this.platform.close();
  }

  /** Runs `action` while no other fault pauses, kills or stops the same entry VM. */
  async runExclusively(entry: TestEntry, action: () => Promise<void>): Promise<void> {
    const previous = this.#locks.get(entry.vm) ?? Promise.resolve();
    const current = previous.then(action);
    this.#locks.set(
      entry.vm,
      current.catch(() => undefined),
    );
    await current;
  }

  /** Runs `action` and records its duration as an outage of each VM, once per kind. */
  async recordOutage(
    kinds: readonly OutageKind[],
    entries: readonly TestEntry[],
    action: () => Promise<void>,
  ): Promise<void> {
    const from = Date.now();
    const outages: Outage[] = [];
    await action();
    outages.push(...entries.map(({vm}) => ({from, until: Date.now(), vm})));
    for (const kind of kinds) {
      this.recorder.add(kind, ...outages);
    }
  }

  /** Partitions the directions while `action` runs. */
  async runPartitioned(
    directions: readonly (readonly [Endpoint, Endpoint])[],
    action: () => Promise<void>,
  ): Promise<void> {
    const {network} = this.platform;
    for (const [from, to] of directions) {
      network.partition(from, to);
    }
    await action();
    for (const [from, to] of directions) {
      network.heal(from, to);
    }
  }

  listEntries(dataCentre: string): readonly TestEntry[] {
    return this.entries.filter((entry) => entry.dataCentre === dataCentre);
  }

  /** Starts the process of an entry VM, replacing one that has exited. */
  startEntry(entry: TestEntry): Promise<void> {
    const others = this.entries.filter((other) => other !== entry && other.process?.isRunning);
    return entry.start(
      others.map(({peerAddress}) => peerAddress).filter((address) => address !== ''),
    );
  }

  async start(): Promise<void> {
    await this.platform.start();
    for (const minion of this.platform.minions.values()) {
      minion.control({serviceMs: 15});
    }
    const [first, ...rest] = this.entries;
    if (first !== undefined) {
      await this.startEntry(first);
    }
    await Promise.all(rest.map((entry) => this.startEntry(entry)));
  }

  async waitForReady(limitMs: number): Promise<void> {
    for (const entry of this.entries) {
      await waitUntil(`${entry.vm} is ready`, limitMs, () => entry.isReady());
    }
  }
}

/** Picks a random item; throws a RangeError when there is none. */
export function pick<Item>(random: RandomGenerator, items: readonly Item[]): Item {
  const item = items[uniformInt(random, 0, items.length - 1)];
  if (item === undefined) {
    throw new RangeError('cannot pick from an empty list');
  }
  return item;
}
