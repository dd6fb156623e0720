/** A lasting task whose minion drains and leaves and whose owners are killed, in an order that a test chooses. */

import type {MinionId} from '@nutmegproxy/core';

import assert from 'node:assert/strict';

import type {EmulatedMinion, RecordedRun} from '../../EmulatedMinion.ts';
import type {MinionBounds} from '../../MinionBounds.ts';
import type {KillableOwner} from './TakeoverHarness.ts';

import {TakeoverHarness} from './TakeoverHarness.ts';

/** Time in milliseconds after its last run within which a lasting task has to run again. */
export const RESTART_DEADLINE_MS = 9_000;
/** Time in milliseconds until the ownership of a killed VM is free. */
export const OWNERSHIP_TTL_MS = 2_000;
/** Time in milliseconds from one event to the next. */
export const GAP_MS = 600;
/** Time in milliseconds for which the entry of a minion is kept whose machine is gone. */
const ENTRY_KEPT_MS = 3_500;
const STEP_MS = 50;

/**
 * @example
 * const scenario = new LastingTaskScenario();
 * const minion = scenario.addMinion('m1');
 * await scenario.startOwner();
 * await scenario.harness.runLastingTask(minion);
 * scenario.drain(minion);
 * await scenario.passUntilRunning();
 * scenario.assertRunsInTime();
 */
export class LastingTaskScenario {
  readonly harness = new TakeoverHarness();
  /** All minions that may run the task. */
  readonly minions: EmulatedMinion[] = [];
  #killedAt = -Infinity;
  /** When a minion whose machine is gone was lost, until its entry is removed. */
  readonly #lostAt = new Map<MinionId, number>();
  #owner: KillableOwner | undefined;
  #owners = 0;

  get now(): number {
    return this.harness.clock.monotonic();
  }

  get owner(): KillableOwner {
    assert.ok(this.#owner, 'an owner was started');
    return this.#owner;
  }

  addMinion(name: string, bounds: Partial<MinionBounds> = {}): EmulatedMinion {
    const minion = this.harness.addMinion(name, undefined, bounds);
    this.minions.push(minion);
    return minion;
  }

  /** Starts the first owner, or the next one, at the earliest when that of a killed VM would be free. */
  async startOwner(): Promise<void> {
    this.harness.clock.advance(Math.max(0, this.#killedAt + OWNERSHIP_TTL_MS - this.now));
    this.#owners += 1;
    this.#owner = await this.harness.startKillable(`vm-${this.#owners}`);
  }

  /** Kills the owner; `keptMs` milliseconds pass until its ownership is free in the store. */
  async killOwner(keptMs = 0): Promise<void> {
    this.#killedAt = this.now;
    await this.owner.kill(keptMs);
  }

  drain(minion: EmulatedMinion): void {
    minion.description = {...minion.description, isDraining: true};
    this.harness.fleet.add(minion);
  }

  /** Ends a minion, whose entry is removed at once. */
  leave(minion: EmulatedMinion): void {
    minion.crash(Infinity, this.harness.clock.monotonic());
    this.harness.fleet.remove(minion.description.id);
  }

  /** Ends a minion and its machine; its entry is kept until it has expired. */
  loseForGood(minion: EmulatedMinion): void {
    const {id} = minion.description;
    minion.crash(Infinity, this.harness.clock.monotonic());
    this.harness.fleet.machineList?.gone.add(id);
    this.#lostAt.set(id, this.now);
  }

  async pass(milliseconds: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += STEP_MS) {
      await this.harness.passTime(this.owner.started.ownership, STEP_MS, STEP_MS, STEP_MS);
      this.#expireEntries();
    }
  }

  /** Lets time pass until the task runs, at most for `limitMs` milliseconds. */
  async passUntilRunning(limitMs = RESTART_DEADLINE_MS, task?: string): Promise<void> {
    for (let waitedMs = 0; waitedMs < limitMs && !this.isRunning(task); waitedMs += GAP_MS) {
      await this.pass(GAP_MS);
    }
    assert.ok(this.isRunning(task), 'the task does not run');
  }

  /** Checks that a task, or the only one, never ran twice at once and was never idle for longer than it may. */
  assertRunsInTime(limitMs = RESTART_DEADLINE_MS, task?: string): void {
    const runs = this.#listRuns(task);
    for (const [index, {startedAtMs}] of runs.entries()) {
      const former = runs[index - 1];
      const idleMs = startedAtMs - (former?.endedAtMs ?? startedAtMs);
      assert.ok(former === undefined || former.endedAtMs !== undefined, 'two runs at once');
      assert.ok(idleMs >= 0, `run ${index} began ${-idleMs} ms before the end of the former`);
      assert.ok(idleMs <= limitMs, `idle for ${idleMs} ms`);
    }
  }

  isRunning(task?: string): boolean {
    return this.minions.some(
      (minion) =>
        !minion.isDown(this.now) && minion.liveTasks.some((name) => (task ?? name) === name),
    );
  }

  /** Removes the entries of minions whose machine is gone once they have expired. */
  #expireEntries(): void {
    for (const [id, lostAt] of this.#lostAt) {
      if (this.now - lostAt >= ENTRY_KEPT_MS) {
        this.harness.fleet.remove(id);
        this.#lostAt.delete(id);
      }
    }
  }

  #listRuns(task?: string): RecordedRun[] {
    return this.minions
      .flatMap(({records}) => records)
      .filter((run) => (task ?? run.task) === run.task)
      .sort((a, b) => a.startedAtMs - b.startedAtMs);
  }
}
