import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {KeyCommitter} from '../../KeyCommitter.ts';
import {KeyRateLimiter} from '../../KeyRateLimiter.ts';
import {MAX_KEYS_PER_STORE_CALL} from '../../RequestsConstants.ts';
import {FakeStore} from './FakeStore.ts';

const KEY_COUNT = 200;

function createCommitter(store: FakeStore): KeyCommitter {
  return new KeyCommitter(store, new KeyRateLimiter(() => 1), SYSTEM_CLOCK);
}

describe('KeyCommitter', () => {
  it('commits many keys in the minimum number of calls', async () => {
    const store = new FakeStore();
    const committer = createCommitter(store);
    const results = await Promise.all(
      Array.from({length: KEY_COUNT}, (_, index) => {
        const key = `key-${index}`;
        const then = [{key, kind: 'put' as const, value: Buffer.from('claimed')}];
        return committer.commit({key, transaction: {compare: [], then}});
      }),
    );
    assert.ok(results.every((result) => result.isOk() && result.value.succeeded));
    assert.equal(store.calls, Math.ceil(KEY_COUNT / MAX_KEYS_PER_STORE_CALL));
  });

  it('commits many deferred writes in the minimum number of calls', async () => {
    const store = new FakeStore();
    const committer = createCommitter(store);
    const writes = Array.from({length: KEY_COUNT}, (_, index) => {
      const key = `key-${index}`;
      const then = [{key, kind: 'put' as const, value: Buffer.from('answered')}];
      return committer.commitDeferred({key, transaction: {compare: [], then}});
    });
    // Deferred writes wait on an unreferenced timer, so each batch is flushed explicitly.
    while (committer.pendingCount > 0) {
      committer.flush();
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.ok((await Promise.all(writes)).every((result) => result.isOk()));
    assert.equal(store.calls, Math.ceil(KEY_COUNT / MAX_KEYS_PER_STORE_CALL));
  });

  it('commits a deferred write with the next call that has free capacity', async () => {
    const store = new FakeStore();
    const committer = createCommitter(store);
    const write = (key: string): Parameters<KeyCommitter['commit']>[0] => ({
      key,
      transaction: {compare: [], then: [{key, kind: 'put', value: Buffer.from('x')}]},
    });
    const deferred = committer.commitDeferred(write('deferred'));
    await committer.commit(write('urgent'));
    assert.ok((await deferred).isOk());
    assert.equal(store.calls, 1);
  });
});
