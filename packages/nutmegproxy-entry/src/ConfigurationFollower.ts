/** Keeps the newest configuration in force. A version that is in force is never replaced by an older one. */

import type {EventSink} from '@nutmegproxy/core';
import type {QueuePolicy} from '@nutmegproxy/scheduling';
import type {Watch} from '@nutmegproxy/store';

import {delay} from '@nutmegproxy/core';

import type {Configuration, ConfigurationSource} from './Configuration.ts';

import {FOLLOW_RETRY_MS} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';
import {RouteTable} from './RouteTable.ts';

export class ConfigurationFollower {
  #configuration: Configuration | undefined;
  readonly #events: EventSink;
  readonly #source: ConfigurationSource;
  #stopped = false;
  #table: RouteTable | undefined;
  #watch: undefined | Watch;

  constructor(source: ConfigurationSource, events: EventSink) {
    this.#source = source;
    this.#events = events;
  }

  get configuration(): Configuration | undefined {
    return this.#configuration;
  }

  get queues(): readonly QueuePolicy[] {
    return this.#configuration?.routes ?? [];
  }

  get table(): RouteTable | undefined {
    return this.#table;
  }

  close(): void {
    this.#stopped = true;
    this.#watch?.close();
  }

  /** Follows the configuration until it is closed. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const read = await this.#source.read();
      if (read.isOk()) {
        const {configuration, revision} = read.value;
        if (configuration !== undefined) {
          this.#apply(configuration);
        }
        await this.#follow(revision + 1);
      }
      await delay(FOLLOW_RETRY_MS);
    }
  }

  #apply(configuration: Configuration): void {
    const {routes, version} = configuration;
    if (this.#configuration !== undefined && version <= this.#configuration.version) {
      return;
    }
    const former = this.#configuration?.version;
    this.#configuration = configuration;
    this.#table = new RouteTable(configuration);
    const fields = {former, routes: routes.length, version};
    this.#events.record(ENTRY_EVENTS.CONFIGURATION_APPLIED, fields);
  }

  /** Resolves when the watch is broken. */
  #follow(fromRevision: number): Promise<void> {
    return new Promise((resolve) => {
      this.#watch = this.#source.watch(fromRevision, {
        onBroken: () => {
          this.#watch?.close();
          resolve();
        },
        onChange: (configuration) => {
          this.#apply(configuration);
        },
      });
    });
  }
}
