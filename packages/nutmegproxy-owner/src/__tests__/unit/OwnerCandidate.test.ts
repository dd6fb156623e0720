import type {VmId} from '@nutmegproxy/core';

import {brand, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {getKey} from '@nutmegproxy/store';
import {ResultAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';

import type {Owner} from '../../Owner.ts';

import {OwnerCandidate} from '../../OwnerCandidate.ts';
import {OWNER_KEY} from '../../OwnerElection.ts';

const SMALL_VM_CORES = 0.324;
const LARGE_VM_CORES = 1.35;

describe('OwnerCandidate', () => {
  let candidates: OwnerCandidate[];
  let isConfigured: boolean;
  let keepAlive: NodeJS.Timeout;
  let owners: string[];
  let store: MemoryStore;

  function startCandidate(vm: string, ownCores: number): OwnerCandidate {
    const candidate = new OwnerCandidate({
      canOwn: () => isConfigured,
      clock: SYSTEM_CLOCK,
      createOwner: () => {
        owners.push(vm);
        const run = (): Promise<string> => new Promise(() => undefined);
        return {run, stop: () => undefined} as unknown as Owner;
      },
      events: SILENT_EVENTS,
      leaseTimes: DEFAULT_LEASE_TIMES,
      otherCores: () => [],
      ownCores,
      random: () => 0,
      store,
      vm: brand<VmId>(vm),
    });
    candidates.push(candidate);
    void candidate.run();
    return candidate;
  }

  /** Holds back the responses to writes of the ownership until the returned function is called. */
  function holdAcquisitions(): {readonly isHeld: () => boolean; readonly release: () => void} {
    let isHeld = false;
    let release = (): void => undefined;
    const held = new Promise<void>((resolve) => {
      release = resolve;
    });
    const commit = store.commit.bind(store);
    store.commit = (transaction) => {
      const response = commit(transaction);
      const isAcquisition = transaction.then.some(
        (operation) => operation.kind === 'put' && operation.key === OWNER_KEY,
      );
      if (!isAcquisition) {
        return response;
      }
      isHeld = true;
      return new ResultAsync(held.then(() => response));
    };
    return {isHeld: () => isHeld, release};
  }

  beforeEach(() => {
    // The timers under test do not keep the process alive.
    keepAlive = setInterval(() => undefined, 1_000);
    candidates = [];
    isConfigured = false;
    owners = [];
    store = new MemoryStore();
  });

  afterEach(async () => {
    clearInterval(keepAlive);
    await Promise.all(candidates.map((candidate) => candidate.stop()));
    await store.close();
  });

  it('lets a larger VM own the fleet when the configuration arrives after the start', async () => {
    startCandidate('small', SMALL_VM_CORES);
    startCandidate('large', LARGE_VM_CORES);
    await new Promise((resolve) => setTimeout(resolve, 400));
    isConfigured = true;
    while (owners.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    assert.deepEqual(owners, ['large']);
  });

  it('runs no owner and gives the ownership up when it is stopped while it acquires it', async () => {
    isConfigured = true;
    const {isHeld, release} = holdAcquisitions();
    const candidate = startCandidate('large', LARGE_VM_CORES);
    while (!isHeld()) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    const stopped = candidate.stop();
    release();
    await stopped;
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.deepEqual(owners, []);
    assert.equal((await getKey(store, OWNER_KEY))._unsafeUnwrap(), undefined);
  });
});
