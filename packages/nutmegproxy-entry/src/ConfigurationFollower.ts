/** Watches the configuration and applies each newer version; an older version is ignored. */

import type {EventSink} from '@nutmegproxy/core';
import type {QueuePolicy} from '@nutmegproxy/scheduling';
import type {Watch} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';

import type {Configuration, ConfigurationSource} from './Configuration.ts';

import {
  CONFIGURATION_PAUSE_MS,
  CONFIGURATION_RETRY_DELAY_MS,
  MAX_REPEATED_CONFIGURATION_BYTES,
} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';
import {RouteTable} from './RouteTable.ts';

export class ConfigurationFollower {
  /** Resolves once a configuration is applied. */
  readonly applied: Promise<void>;
  #configuration: Configuration | undefined;
  readonly #events: EventSink;
  readonly #source: ConfigurationSource;
  #stopped = false;
  #resolveApplied: () => void = () => undefined;
  #routeTable: RouteTable | undefined;
  #watch: undefined | Watch;

  constructor(source: ConfigurationSource, events: EventSink) {
    this.#source = source;
    this.#events = events;
    this.applied = new Promise((resolve) => {
      this.#resolveApplied = resolve;
    });
  }

  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  get queues(): readonly QueuePolicy[] {
    return this.#configuration?.routes ?? [];
  }

  get routeTable(): RouteTable | undefined {
    return this.#routeTable;
  }

  close(): void {
    this.#stopped = true;
    this.#watch?.close();
  }

  /** Reads and watches the configuration until `close` is called. */
  async run(): Promise<void> {
    let isReadable = true;
    while (!this.#stopped) {
      // A watch that breaks later than this after its read is followed by the next read at once.
      const period = delay(CONFIGURATION_RETRY_DELAY_MS);
      const read = await this.#source.read();
      // Only the first of successive failures is logged.
      if (read.isErr() && isReadable) {
        const {message} = read.error;
        const fields = {message, version: this.#configuration?.version};
        this.#events.record(ENTRY_EVENTS.CONFIGURATION_READ_FAILED, fields);
      }
      isReadable = read.isOk();
      if (read.isOk()) {
        const {bytes, configuration, revision} = read.value;
        const isFirst = this.#configuration === undefined;
        const isNewer = configuration !== undefined && this.#apply(configuration);
        if (isNewer && !isFirst && bytes <= MAX_REPEATED_CONFIGURATION_BYTES) {
          // In a series of versions a watch would get all that are written meanwhile.
          await delay(CONFIGURATION_PAUSE_MS);
        } else {
          await this.#follow(revision + 1);
          await period;
        }
      } else {
        await delay(CONFIGURATION_RETRY_DELAY_MS);
      }
    }
  }

  /** Applies a configuration if it is newer; returns whether it is. */
  #apply(configuration: Configuration): boolean {
    const {routes, version} = configuration;
    if (this.#configuration !== undefined && version <= this.#configuration.version) {
      return false;
    }
    const former = this.#configuration?.version;
    this.#configuration = configuration;
    this.#routeTable = new RouteTable(configuration);
    this.#resolveApplied();
    const fields = {former, routes: routes.length, version};
    this.#events.record(ENTRY_EVENTS.CONFIGURATION_APPLIED, fields);
    return true;
  }

  /** Watches for changes; resolves when the watch breaks. */
  #follow(fromRevision: number): Promise<void> {
    return new Promise((resolve) => {
      this.#watch = this.#source.watch(fromRevision, {
        onBroken: ({message}) => {
          this.#watch?.close();
          const fields = {message, version: this.#configuration?.version};
          this.#events.record(ENTRY_EVENTS.CONFIGURATION_WATCH_BROKEN, fields);
          resolve();
        },
        onChange: (configuration) => {
          this.#apply(configuration);
        },
      });
    });
  }
}
