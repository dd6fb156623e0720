/** The process of an entry VM: its features, listeners and planned stop. */

import type {EntryNode} from '@nutmegproxy/core';
import type {EventLog} from '@nutmegproxy/events';
import type {ResolvedSettings, Secret} from '@nutmegproxy/settings';
import type {Result} from 'neverthrow';

import {DRAIN_STARTED, PRIORITY_LOW} from '@nutmegproxy/core';
import {MEMBER_REMOVED} from '@nutmegproxy/membership';
import {err, ok} from 'neverthrow';
import {setTimeout as delay} from 'node:timers/promises';

import type {Features} from './Features.ts';

import {STOP_LIMIT_MS} from './CliConstants.ts';
import {CLI_EVENTS} from './CliEvents.ts';
import {startFeatures} from './Features.ts';
import {createNode} from './NodeFactory.ts';

/** Ports that the process listens on. */
export interface ServingPorts {
  readonly callers: number;
  readonly operators: number;
  readonly peers: number;
}

export interface EntrySecrets {
  readonly operator: Secret;
  readonly peer: Secret;
}

/** Why a process could not start, for example because an address is in use. */
export interface StartFailure {
  readonly message: string;
}

/**
 * Why a process stopped. `removed`: peers removed it from the membership record, for example after
 * a long pause; only a new incarnation can join again.
 */
export type StopReason = 'removed' | 'stopped';

/** A running entry process. */
export class EntryProcess {
  readonly log: EventLog;
  readonly ports: ServingPorts;
  /** Resolves when the stop is complete, regardless of what initiated it. */
  readonly whenStopped: Promise<StopReason>;
  readonly #features: Features;
  readonly #node: EntryNode;
  #resolveStopped: (reason: StopReason) => void = () => undefined;
  #isStopping = false;

  constructor(node: EntryNode, log: EventLog, features: Features) {
    this.log = log;
    this.ports = features.ports;
    this.#features = features;
    this.#node = node;
    this.whenStopped = new Promise((resolve) => {
      this.#resolveStopped = resolve;
    });
    const onRemoved = (): boolean => {
      void this.stop('removed');
      return false;
    };
    node.bus.register(MEMBER_REMOVED, onRemoved, PRIORITY_LOW);
  }

  /** Starts the planned stop and waits for it; later calls only wait. */
  async stop(reason: StopReason = 'stopped'): Promise<void> {
    if (!this.#isStopping) {
      this.#isStopping = true;
      await this.#drain(reason);
      await this.#features.close();
      this.log.record(CLI_EVENTS.STOPPED, {end: reason});
      this.#resolveStopped(reason);
    }
    await this.whenStopped;
  }

  async #drain(reason: StopReason): Promise<void> {
    this.log.record(CLI_EVENTS.STOPPING, {end: reason});
    const pendingWork: Promise<void>[] = [];
    this.#node.bus.dispatch(DRAIN_STARTED, {
      wait: (work) => {
        pendingWork.push(work);
      },
    });
    const limit = delay(STOP_LIMIT_MS, 'overdue' as const, {ref: false});
    const outcome = await Promise.race([Promise.allSettled(pendingWork), limit]);
    if (outcome === 'overdue') {
      this.log.record(CLI_EVENTS.STOP_OVERDUE, {limitMs: STOP_LIMIT_MS});
    }
  }
}

/**
 * Starts an entry process with all its listeners.
 *
 * @example
 * const entry = await startEntryProcess(settings, secrets);
 */
export async function startEntryProcess(
  settings: ResolvedSettings,
  secrets: EntrySecrets,
): Promise<Result<EntryProcess, StartFailure>> {
  const {log, node} = createNode(settings);
  log.record(CLI_EVENTS.STARTING, {});
  const stopRequest = new AbortController();
  const onListedStop = (): void => {
    stopRequest.abort();
  };
  const features = await startFeatures({log, node, onListedStop, secrets, settings});
  if (features.isErr()) {
    return err(features.error);
  }
  const entry = new EntryProcess(node, log, features.value);
  stopRequest.signal.addEventListener('abort', () => void entry.stop());
  log.record(CLI_EVENTS.SERVING, {...entry.ports});
  if (stopRequest.signal.aborted) {
    void entry.stop();
  }
  return ok(entry);
}
