/** A child process of a test that can be paused, resumed and killed. */

import type {ChildProcess} from 'node:child_process';

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

const MAX_OUTPUT_LINES = 2_000;
const READY_PREFIX = 'ready ';
const READY_TIMEOUT_MS = 15_000;

/** A Node.js program with its arguments. */
export interface ProcessOptions {
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  readonly name: string;
  /** Path of the bundled program, for example `dist/cli.cjs`. */
  readonly program: string;
}

/** Exit code or signal of a process. */
export interface ProcessExit {
  readonly code: null | number;
  readonly signal: null | string;
}

export class ManagedProcess {
  readonly #child: ChildProcess;
  readonly #exited: Promise<ProcessExit>;
  readonly name: string;
  readonly #output: string[] = [];
  #readyMessage: string | undefined;

  constructor(options: ProcessOptions) {
    this.name = options.name;
    this.#child = spawn(process.execPath, [options.program, ...options.args], {
      env: {...process.env, ...options.env},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#exited = new Promise((resolve) => {
      this.#child.once('close', (code, signal) => {
        resolve({code, signal});
      });
    });
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      if (stream !== null) {
        createInterface({input: stream}).on('line', (line) => {
          this.#readLine(line);
        });
      }
    }
  }

  /** The newest lines of output. */
  get output(): readonly string[] {
    return this.#output;
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  /** Text after `ready ` in the ready line. */
  get readyMessage(): string {
    return this.#readyMessage ?? '';
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Kills the process, also while it is paused. */
  kill(): Promise<ProcessExit> {
    return this.signalAndWait('SIGKILL');
  }

  pause(): void {
    this.#child.kill('SIGSTOP');
  }

  resume(): void {
    this.#child.kill('SIGCONT');
  }

  /** Sends a signal without waiting for its effect. */
  sendSignal(name: 'SIGTERM'): void {
    this.#child.kill(name);
  }

  /** Sends a terminating signal and waits for the process to exit. */
  signalAndWait(name: 'SIGKILL' | 'SIGTERM'): Promise<ProcessExit> {
    if (this.isRunning) {
      this.#child.kill(name);
    }
    return this.#exited;
  }

  /** Kills the process without waiting; for the exit handler of the parent process. */
  killNow(): void {
    if (this.isRunning) {
      this.#child.kill('SIGKILL');
    }
  }

  waitForExit(): Promise<ProcessExit> {
    return this.#exited;
  }

  /** Waits for the ready line; rejects when the process exits or the timeout passes. */
  async waitForReady(timeoutMs = READY_TIMEOUT_MS): Promise<string> {
    const signal = AbortSignal.timeout(timeoutMs);
    while (this.#readyMessage === undefined && this.isRunning && !signal.aborted) {
      await this.#waitForOutput(signal);
    }
    if (this.#readyMessage === undefined) {
      const output = this.#output.slice(-20).join('\n');
      throw new Error(`${this.name} did not become ready:\n${output}`);
    }
    return this.#readyMessage;
  }

  async #waitForOutput(signal: AbortSignal): Promise<void> {
    // An abort rejects the promise; the caller checks the signal.
    const line = once(this.#child.stdout ?? this.#child, 'data', {signal}).catch(() => undefined);
    await Promise.race([line, this.#exited]);
    await new Promise((resolve) => setImmediate(resolve));
  }

  #readLine(line: string): void {
    this.#output.push(line);
    if (this.#output.length > MAX_OUTPUT_LINES) {
      this.#output.shift();
    }
    if (this.#readyMessage === undefined && line.startsWith(READY_PREFIX)) {
      this.#readyMessage = line.slice(READY_PREFIX.length);
    }
  }
}
