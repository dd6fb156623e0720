import {deepEqual, equal, ok} from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import {request} from 'undici';

import {WorkerFleet} from '../../WorkerFleet.ts';

describe('WorkerFleet', () => {
  const fleet = new WorkerFleet();
  let addresses: readonly string[] = [];

  async function sync(address: string): Promise<unknown> {
    const answer = await request(`http://${address}/v1/sync`, {
      body: JSON.stringify({leaseMs: 1_000}),
      method: 'POST',
      reset: true,
    });
    return answer.body.json();
  }

  before(async () => {
    addresses = (await fleet.start(3)).map(({address}) => address);
  });

  after(() => fleet.close());

  it('assigns each worker its own address', () => {
    equal(new Set(addresses).size, 3);
  });

  it('responds as the called worker and counts calls and bytes', async () => {
    deepEqual(await sync(addresses[1] ?? ''), {attempts: [], worker: 'dc-1-worker-1'});
    equal(fleet.counts.syncs, 1);
    ok(fleet.counts.receivedBytes > 0);
    ok(fleet.counts.sentBytes > 0);
  });
});
