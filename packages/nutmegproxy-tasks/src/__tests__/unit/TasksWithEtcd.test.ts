import type {IncarnationId} from '@nutmegproxy/core';
import type {Standin} from '@nutmegproxy/standins';

import {brand, CommandBus, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {StoreServer} from '@nutmegproxy/standins';
import {EtcdStore, put} from '@nutmegproxy/store';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Registry} from 'prom-client';

import {CellLog} from '../../CellLog.ts';
import {parseOwnerRecord, recoverCell} from '../../CellRecovery.ts';
import {GroupCommit} from '../../GroupCommit.ts';
import {CellKeys, getJobKey} from '../../TaskKeys.ts';

const OWNER = brand<IncarnationId>('vm-1.1');
const keys = new CellKeys('/n', brand('dc1'), brand('rack-1'));

describe('task log over the etcd gateway', () => {
  let commit: GroupCommit;
  let server: StoreServer;
  let standin: Standin;
  let store: EtcdStore;

  beforeEach(async () => {
    server = new StoreServer();
    standin = await server.start();
    const node = {
      bus: new CommandBus(),
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      identity: {} as never,
      metrics: new Registry(),
    };
    store = new EtcdStore({
      baseUrls: [`http://127.0.0.1:${standin.port}`],
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      metrics: new Registry(),
      timeoutMs: 1000,
    });
    commit = new GroupCommit(node, store, () => 1, 1);
    const owner = Buffer.from(JSON.stringify({epoch: 1, owner: OWNER}));
    assert.ok((await put(store, keys.owner, owner)).isOk());
  });

  afterEach(async () => {
    await commit.close();
    await store.close();
    await standin.close();
  });

  const recover = async () => {
    const recovered = await recoverCell(store, keys, parseOwnerRecord, OWNER);
    assert.ok(recovered.isOk(), recovered.isErr() ? recovered.error.message : '');
    const {position, table} = recovered.value;
    return {log: new CellLog(keys, commit, position), table};
  };

  const accepted = (job: string) =>
    ({at: 1, count: 1, entry: 'e', job, kind: 'job-accepted'}) as const;

  it('commits and replays changes, and resolves lost responses', async () => {
    const {log, table} = await recover();
    server.faults.change({loseNext: 2});
    const outcomes = await Promise.all(
      Array.from({length: 100}, (_, index) => log.append([accepted(`j${index}`)])),
    );
    assert.ok(outcomes.every(({kind}) => kind === 'committed'));
    for (let index = 0; index < 100; index += 1) {
      table.apply(accepted(`j${index}`));
    }
    assert.equal(await log.snapshot(table), 'committed');
    await log.append([{at: 2, job: 'j7', kind: 'job-cancelled'}]);
    table.apply({at: 2, job: 'j7', kind: 'job-cancelled'});
    const again = await recover();
    assert.deepEqual(again.table.snapshot(), table.snapshot());
  });

  it('creates one job per key, even for submissions in one batch', async () => {
    const {log} = await recover();
    const key = getJobKey('/n', 'hash');
    const outcomes = await Promise.all(
      ['a', 'b'].map((job) => log.append([accepted(job)], {failFast: true, jobKey: {job, key}})),
    );
    assert.deepEqual(outcomes, [{kind: 'committed'}, {job: 'a', kind: 'exists'}]);
  });
});
