/** The child processes of one test; closing the group kills all of them. */

import type {ProcessOptions} from './ManagedProcess.ts';

import {ManagedProcess} from './ManagedProcess.ts';

/** Maximum number of processes that run in a group at the same time. */
export const MAX_PROCESSES = 64;

/**
 * Starts child processes and kills all of them on `close` and when this process exits.
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

  /** Starts a process and waits until it is ready; kills it if it does not become ready. */
  async start(options: ProcessOptions): Promise<ManagedProcess> {
    const running = this.processes.filter((child) => child.isRunning);
    if (running.length >= MAX_PROCESSES) {
      throw new RangeError('the process group has reached its limit of running processes');
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
