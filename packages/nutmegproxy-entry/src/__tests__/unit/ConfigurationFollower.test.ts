import type {QueueId, ServiceId} from '@nutmegproxy/jobs';
import type {StoreFailure} from '@nutmegproxy/store';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {errAsync, okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {Configuration, ConfigurationSource} from '../../Configuration.ts';
import type {RouteTable} from '../../RouteTable.ts';

import {ConfigurationFollower} from '../../ConfigurationFollower.ts';
import {ENTRY_EVENTS} from '../../EntryEvents.ts';

function createConfiguration(version: number, ...prefixes: string[]): Configuration {
  return {
    limits: {bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
    routes: prefixes.map((pathPrefix) => ({
      advice: undefined,
      host: 'Queue.example',
      id: pathPrefix as QueueId,
      maxAttempts: 1,
      pathPrefix,
      priority: 0,
      service: 'mesa' as ServiceId,
      stretch: 1,
      targetDurationMs: 1,
    })),
    version,
  };
}

function getRouteTable(follower: ConfigurationFollower): RouteTable {
  assert.ok(follower.routeTable);
  return follower.routeTable;
}

describe('ConfigurationFollower', () => {
  let notifyChange: (next: Configuration) => void;
  let follower: ConfigurationFollower;

  beforeEach(async () => {
    const source: ConfigurationSource = {
      read: () =>
        okAsync({bytes: 1, configuration: createConfiguration(5, '/a/', '/a/b/'), revision: 1}),
      watch: (_from, handler) => {
        notifyChange = handler.onChange;
        return {close: () => undefined};
      },
    };
    follower = new ConfigurationFollower(source, SILENT_EVENTS);
    void follower.run();
    await new Promise((resolve) => setTimeout(resolve, 10));
  });

  afterEach(() => {
    follower.close();
  });

  it('finds the queue by host and longest prefix', () => {
    assert.equal(getRouteTable(follower).find('queue.example:80', '/a/b/1')?.id, '/a/b/');
    assert.equal(getRouteTable(follower).find('queue.example', '/a/1')?.id, '/a/');
    assert.equal(getRouteTable(follower).find('other.example', '/a/1'), undefined);
    assert.equal(getRouteTable(follower).find('queue.example', '/c/1'), undefined);
  });

  it('logs the first of successive failed reads, and a broken watch', async () => {
    const failure: StoreFailure = {kind: 'unavailable', message: 'no response'};
    const loggedCodes: number[] = [];
    const outcomes = [errAsync(failure), errAsync(failure)];
    let breakWatch: (() => void) | undefined;
    const reader = new ConfigurationFollower(
      {
        read: () => outcomes.pop() ?? okAsync({bytes: 0, configuration: undefined, revision: 1}),
        watch: (_from, handler) => {
          breakWatch = () => {
            handler.onBroken(failure);
          };
          return {close: () => undefined};
        },
      },
      {record: ({code}) => loggedCodes.push(code)},
    );
    void reader.run();
    while (breakWatch === undefined) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    reader.close();
    breakWatch();
    assert.deepEqual(loggedCodes, [
      ENTRY_EVENTS.CONFIGURATION_READ_FAILED.code,
      ENTRY_EVENTS.CONFIGURATION_WATCH_BROKEN.code,
    ]);
  });

  it('applies a higher version and ignores a lower one', () => {
    notifyChange(createConfiguration(9, '/c/'));
    assert.equal(getRouteTable(follower).find('queue.example', '/a/1'), undefined);
    notifyChange(createConfiguration(7, '/a/'));
    assert.equal(getRouteTable(follower).version, 9);
    assert.equal(getRouteTable(follower).find('queue.example', '/a/1'), undefined);
  });

  describe('in a series of versions', () => {
    const LARGE_BYTES = 1_000_000;

    /** Returns after which reads a watch was begun, where the reads return versions of a size in turn. */
    async function listWatches(versions: readonly number[], bytes: number): Promise<number[]> {
      const watchedAfter: number[] = [];
      let reads = 0;
      const reader = new ConfigurationFollower(
        {
          read: () => {
            const version = versions[Math.min(reads, versions.length - 1)] ?? 0;
            reads += 1;
            return okAsync({bytes, configuration: createConfiguration(version), revision: version});
          },
          watch: (_from, {onBroken}) => {
            watchedAfter.push(reads);
            if (reads < versions.length) {
              onBroken({kind: 'unavailable', message: 'the missed changes are too long'});
            }
            return {close: () => undefined};
          },
        },
        SILENT_EVENTS,
      );
      void reader.run();
      while (watchedAfter.at(-1) !== versions.length) {
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
      reader.close();
      return watchedAfter;
    }

    it('reads the newest until it is known, and only then watches, which would get each of them', async () => {
      assert.deepEqual(await listWatches([1, 5, 9, 9], 1), [1, 4]);
    });

    it('does not read a large one again', async () => {
      assert.deepEqual(await listWatches([1, 5, 9, 9], LARGE_BYTES), [1, 2, 3, 4]);
    });
  });
});
