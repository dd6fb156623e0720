import {CommandBus, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {after, beforeEach, describe, it} from 'node:test';
import {Registry} from 'prom-client';

import type {CommitItem} from '../../GroupCommit.ts';

import {GroupCommit} from '../../GroupCommit.ts';
import {MemoryStore} from '../MemoryStore.ts';

function createItem(key: string, failFast = false): CommitItem {
  return {
    compare: [{key, kind: 'modRevision', modRevision: 0}],
    failFast,
    readBack: [key],
    sizeBytes: 10,
    then: [{key, kind: 'put', value: Buffer.from('1')}],
  };
}

describe('group commit', () => {
  const keepAlive = setInterval(() => undefined, 1000);
  after(() => {
    clearInterval(keepAlive);
  });

  let commit: GroupCommit;
  let store: MemoryStore;

  beforeEach(() => {
    store = new MemoryStore();
    const node = {
      bus: new CommandBus(),
      clock: new ManualClock(),
      events: SILENT_EVENTS,
      identity: {} as never,
      metrics: new Registry(),
    };
    commit = new GroupCommit(node, store, () => 0, 0);
  });

  it('commits all waiting items in one transaction', async () => {
    const outcomes = await Promise.all(
      ['a', 'b', 'c'].map((key) => commit.commit(createItem(key))),
    );
    assert.deepEqual(
      outcomes.map(({kind}) => kind),
      ['committed', 'committed', 'committed'],
    );
    assert.equal(store.commits, 1);
  });

  it('commits the other items when a condition of one item fails', async () => {
    store.put('b', 1);
    const outcomes = await Promise.all(
      ['a', 'b', 'c'].map((key) => commit.commit(createItem(key))),
    );
    assert.deepEqual(
      outcomes.map(({kind}) => kind),
      ['committed', 'refused', 'committed'],
    );
  });

  it('never writes a key twice in one transaction', async () => {
    const outcomes = await Promise.all(['a', 'a'].map((key) => commit.commit(createItem(key))));
    assert.deepEqual(
      outcomes.map(({kind}) => kind),
      ['committed', 'refused'],
    );
  });

  it('keeps each transaction below the limits of the store', async () => {
    const counts: number[] = [];
    store.onCommit = ({then}) => counts.push(then.length);
    const keys = Array.from({length: 300}, (_, index) => `k${index}`);
    await Promise.all(keys.map((key) => commit.commit(createItem(key))));
    assert.ok(Math.max(...counts) <= 64);
    assert.equal(store.values.size, 300);
  });

  it('retries the items one by one after a rejection', async () => {
    store.faults = ['rejected', 'rejected'];
    const outcomes = await Promise.all(['a', 'b'].map((key) => commit.commit(createItem(key))));
    assert.deepEqual(
      outcomes.map(({kind}) => kind),
      ['refused', 'committed'],
    );
  });

  it('fails fail-fast items while the store is unavailable, and retries the others', async () => {
    store.faults = ['unavailable', 'unavailable'];
    const retried = commit.commit(createItem('a'));
    const failedFast = await commit.commit(createItem('b', true));
    assert.equal(failedFast.kind, 'unavailable');
    assert.equal((await retried).kind, 'committed');
    assert.equal(store.values.has('b'), false);
  });

  it('never reports a fail-fast item as unavailable when it may take effect', async () => {
    store.faults = ['late', 'unavailable'];
    const outcome = await commit.commit(createItem('a', true));
    assert.notEqual(outcome.kind, 'unavailable');
    assert.equal(store.values.has('a'), true);
  });
});
