/** The child processes of one proof; all of them end with the group. */

import type {ProcessOptions} from './ManagedProcess.ts';

import {ManagedProcess} from './ManagedProcess.ts';

/** Most processes that a group starts at one time. */
export const MAX_PROCESSES = 64;

/**
 * Starts processes and ends every one that it started, also when this process exits.
 *
 * @example
 * const group = new ProcessGroup();
 * const store = await group.start({args: ['store'], name: 'store', program: 'dist/standins.cjs'});
 * await group.close();
 */
export class ProcessGroup {
  readonly #killAll = (): void => {
    for (const child of this.#processes) {
      child.killNow();
    }
  };
  readonly #processes = new Set<ManagedProcess>();

  constructor() {
    process.on('exit', this.#killAll);
  }

  get processes(): readonly ManagedProcess[] {
    return [...this.#processes];
  }

  async close(): Promise<void> {
    await Promise.all(this.processes.map((child) => child.kill()));
    this.#processes.clear();
    process.off('exit', this.#killAll);
  }

  /** Starts a process and waits until it is ready; one that fails to become so is ended. */
  async start(options: ProcessOptions): Promise<ManagedProcess> {
    const running = this.processes.filter((child) => child.isRunning);
    if (running.length >= MAX_PROCESSES) {
      throw new RangeError('the group has too many processes');
    }
    const child = new ManagedProcess(options);
    this.#processes.add(child);
    try {
      await child.waitForReady();
    } catch (error) {
      await child.kill();
      throw error;
    }
    return child;
  }
}
