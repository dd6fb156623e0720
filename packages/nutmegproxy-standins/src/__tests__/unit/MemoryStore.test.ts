import {ManualClock} from '@nutmegproxy/core';
import {getKey, put} from '@nutmegproxy/store';
import {deepEqual, equal} from 'node:assert/strict';
import {describe, it} from 'node:test';

import {MemoryStore} from '../../index.ts';

const VALUE = Buffer.from('1');

describe('MemoryStore', () => {
  it('deletes the keys of an expired lease and notifies watches', async () => {
    const clock = new ManualClock();
    const store = new MemoryStore(clock);
    const deleted: string[] = [];
    store.watch('/t', 0, {
      onBroken: () => undefined,
      onEvents: (events) => {
        deleted.push(...events.flatMap((event) => (event.kind === 'delete' ? [event.key] : [])));
      },
    });
    const {lease} = (await store.grantLease(2))._unsafeUnwrap();
    await put(store, '/t', VALUE, lease);
    clock.advance(1500);
    await store.keepLeaseAlive(lease);
    clock.advance(1500);
    equal((await getKey(store, '/t'))._unsafeUnwrap()?.key, '/t');
    clock.advance(600);
    equal((await getKey(store, '/t'))._unsafeUnwrap(), undefined);
    deepEqual(deleted, ['/t']);
  });

  it('executes no call while it is down, but executes one whose response is lost', async () => {
    const store = new MemoryStore(new ManualClock());
    store.faults.change({down: true});
    equal((await put(store, '/a', VALUE))._unsafeUnwrapErr().kind, 'unavailable');
    store.faults.change({down: false, loseNext: 1});
    equal((await getKey(store, '/b'))._unsafeUnwrapErr().kind, 'unavailable');
    store.faults.change({loseNext: 1});
    equal((await put(store, '/b', VALUE))._unsafeUnwrapErr().kind, 'unknown');
    deepEqual(
      store.engine.values().map(({key}) => key),
      ['/b'],
    );
  });

  it('delivers the events of an outage after it ends', async () => {
    const store = new MemoryStore(new ManualClock());
    const other = new MemoryStore(new ManualClock(), store.engine);
    let seen = 0;
    store.watch('/', 0, {
      onBroken: () => undefined,
      onEvents: (events) => {
        seen += events.length;
      },
    });
    store.faults.change({down: true});
    await put(other, '/a', VALUE);
    await put(other, '/a', VALUE);
    equal(seen, 0);
    store.faults.change({down: false});
    await Promise.resolve();
    equal(seen, 2);
  });

  it('evaluates nested comparisons before any operation', async () => {
    const store = new MemoryStore(new ManualClock());
    const absent = {key: '/a', kind: 'modRevision', modRevision: 0} as const;
    await store.commit({
      compare: [],
      then: [
        {key: '/a', kind: 'put', value: VALUE},
        {
          kind: 'transaction',
          transaction: {compare: [absent], then: [{key: '/b', kind: 'put', value: VALUE}]},
        },
      ],
    });
    equal((await getKey(store, '/b'))._unsafeUnwrap()?.key, '/b');
  });

  it('loses the same responses for the same seed', async () => {
    const run = async (): Promise<boolean[]> => {
      const store = new MemoryStore(new ManualClock());
      store.faults.change({loseShare: 0.5, seed: 7});
      const outcomes = [];
      for (let index = 0; index < 20; index += 1) {
        outcomes.push((await put(store, '/a', VALUE)).isOk());
      }
      return outcomes;
    };
    const first = await run();
    deepEqual(await run(), first);
    equal(new Set(first).size, 2);
  });
});
