/** What a run of the prover acts on: two data centres of entry VMs, their platform, and a recorder. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {Absence} from './History.ts';
import type {Place} from './ProofNetwork.ts';

import {HistoryRecorder} from './HistoryRecorder.ts';
import {ProcessGroup} from './ProcessGroup.ts';
import {ProofEntry} from './ProofEntry.ts';
import {ProofPlatform} from './ProofPlatform.ts';
import {PROOF_SIZE} from './ProveConstants.ts';
import {waitUntil} from './ProveUtils.ts';

type AbsenceKind = 'absences' | 'blindTimes' | 'storeFaults';

const ENTRIES: Readonly<Record<string, readonly string[]>> = {
  'dc-a': ['a1', 'a2', 'a3'],
  'dc-b': ['b1', 'b2'],
};

export class ProveScene {
  readonly entries: readonly ProofEntry[];
  readonly #group = new ProcessGroup();
  /** Departed minions; each data centre keeps the others. */
  readonly departed = new Set<string>();
  readonly #locks = new Map<string, Promise<void>>();
  readonly platform = new ProofPlatform({...PROOF_SIZE, dataCentres: Object.keys(ENTRIES)});
  readonly recorder = new HistoryRecorder();

  constructor() {
    this.entries = Object.entries(ENTRIES).flatMap(([dataCentre, vms]) =>
      vms.map((vm) => new ProofEntry(vm, this.#group, this.platform, dataCentre)),
    );
  }

  async close(): Promise<void> {
    await this.#group.close();
    await this.platform.close();
  }

  /** Runs `act` while no other fault pauses, kills or stops the same entry VM. */
  async exclusive(entry: ProofEntry, act: () => Promise<void>): Promise<void> {
    const before = this.#locks.get(entry.vm) ?? Promise.resolve();
    const mine = before.then(act);
    this.#locks.set(
      entry.vm,
      mine.catch(() => undefined),
    );
    await mine;
  }

  /** Records, for each VM, a time in which it can't hear of something. */
  async during(
    kinds: readonly AbsenceKind[],
    entries: readonly ProofEntry[],
    act: () => Promise<void>,
  ): Promise<void> {
    const from = Date.now();
    const times: Absence[] = [];
    await act();
    times.push(...entries.map(({vm}) => ({from, until: Date.now(), vm})));
    for (const kind of kinds) {
      this.recorder.add(kind, ...times);
    }
  }

  /** Cuts the directions while `act` runs. */
  async whileCut(
    directions: readonly (readonly [Place, Place])[],
    act: () => Promise<void>,
  ): Promise<void> {
    const {network} = this.platform;
    for (const [from, to] of directions) {
      network.cut(from, to);
    }
    await act();
    for (const [from, to] of directions) {
      network.heal(from, to);
    }
  }

  inDataCentre(dataCentre: string): readonly ProofEntry[] {
    return this.entries.filter((entry) => entry.dataCentre === dataCentre);
  }

  /** Starts a process, also in place of one that has ended. */
  startEntry(entry: ProofEntry): Promise<void> {
    const others = this.entries.filter((other) => other !== entry && other.process?.running);
    return entry.start(others.map(({peers}) => peers).filter((peers) => peers !== ''));
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

/** One of a list; the lists of a scene are never empty. */
export function pick<Item>(random: RandomGenerator, items: readonly Item[]): Item {
  const item = items[uniformInt(random, 0, items.length - 1)];
  if (item === undefined) {
    throw new RangeError('nothing to pick from');
  }
  return item;
}
