/** A node whose events a test reads and waits for as they are recorded. */

import type {EntryNode, EventKind} from '@nutmegproxy/core';

import {brand, CommandBus, SYSTEM_CLOCK} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {Registry} from 'prom-client';

const WAIT_LIMIT_MS = 8_000;

export class EventLog {
  /** Codes of all recorded events, oldest first. */
  readonly codes: number[] = [];
  readonly #listeners = new Set<() => void>();

  count(code: number): number {
    return this.codes.filter((each) => each === code).length;
  }

  record(kind: EventKind): void {
    this.codes.push(kind.code);
    for (const listener of this.#listeners) {
      listener();
    }
  }

  /** Waits until an event has been recorded so many times; none is missed between two looks. */
  async waitForCount(code: number, count: number): Promise<void> {
    let listener: () => void = () => undefined;
    let timer: NodeJS.Timeout | undefined;
    const isRecorded = await new Promise<boolean>((resolve) => {
      listener = () => {
        if (this.count(code) >= count) {
          resolve(true);
        }
      };
      this.#listeners.add(listener);
      timer = setTimeout(() => {
        resolve(false);
      }, WAIT_LIMIT_MS);
      listener();
    });
    clearTimeout(timer);
    this.#listeners.delete(listener);
    assert.ok(isRecorded, `${code} not recorded ${count} times, only ${this.codes.join(' ')}`);
  }
}

export function createRecordedNode(vm: string, events: EventLog): EntryNode {
  return {
    bus: new CommandBus(),
    clock: SYSTEM_CLOCK,
    events,
    identity: {
      dataCentre: brand('dc-1'),
      incarnation: brand(`${vm}-1`),
      region: brand('region'),
      vm: brand(vm),
    },
    metrics: new Registry(),
  };
}
