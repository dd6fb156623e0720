import type {TaskStart, Vm} from '@nutmegproxy/schema';

import {listen, sendJson, sendJsonAtRate, VmListServer, WorkerServer} from '@nutmegproxy/standins';
import {deepEqual, equal} from 'node:assert/strict';
import {describe, it} from 'node:test';

import {HttpVmList, HttpWorkerClient} from '../../index.ts';

const VM: Vm = {address: '10.0.0.1:1', dataCentre: 'dc1', id: 'm1', role: 'minion', state: 'live'};
const START: TaskStart = {
  attempt: 'a1',
  entry: 'e',
  input: '{"workMs":60000}',
  leaseMs: 60_000,
  reserved: {accelerators: 0, cpu: 1, memoryMb: 1},
  startBefore: Date.now() + 60_000,
  task: 't1',
};

describe('HttpVmList', () => {
  it('reads the list and returns the same report while the revision is unchanged', async () => {
    const server = new VmListServer();
    const standin = await server.start();
    const list = new HttpVmList(`http://127.0.0.1:${standin.port}/`);
    server.control({vms: [VM]});
    const first = (await list.read())._unsafeUnwrap();
    deepEqual(first, {revision: 1, vms: [VM]});
    equal((await list.read())._unsafeUnwrap(), first);
    server.control({freeze: true});
    server.control({vms: []});
    equal((await list.read())._unsafeUnwrap(), first);
    server.control({freeze: false});
    deepEqual((await list.read())._unsafeUnwrap(), {revision: 2, vms: []});
    server.control({down: true});
    equal((await list.read())._unsafeUnwrapErr().kind, 'unknown');
    await list.close();
    await standin.close();
    const gone = new HttpVmList(`http://127.0.0.1:${standin.port}/`);
    equal((await gone.read())._unsafeUnwrapErr().kind, 'unavailable');
    await gone.close();
  });

  it('applies changes to the list that it read before', async () => {
    const server = new VmListServer();
    const standin = await server.start();
    const list = new HttpVmList(`http://127.0.0.1:${standin.port}`);
    const [b, c] = [
      {...VM, id: 'm2'},
      {...VM, id: 'm3'},
    ];
    server.control({vms: [VM, b]});
    await list.read();
    const leaving: Vm = {...VM, state: 'leaving'};
    server.control({vms: [leaving, c]});
    deepEqual((await list.read())._unsafeUnwrap(), {revision: 2, vms: [leaving, c]});
    await list.close();
    await standin.close();
  });

  it('reads the whole list again after changes that are based on another revision', async () => {
    const answers = [
      {revision: 1, vms: [VM]},
      {revision: 7, since: 6, vms: []},
      {revision: 7, vms: []},
    ];
    const paths: (string | undefined)[] = [];
    const standin = await listen(0, {
      'GET /vms': ({request, response}) => {
        paths.push(request.url);
        sendJson(response, answers[paths.length - 1]);
      },
    });
    const list = new HttpVmList(`http://127.0.0.1:${standin.port}`);
    await list.read();
    equal((await list.read())._unsafeUnwrapErr().kind, 'malformed');
    deepEqual((await list.read())._unsafeUnwrap(), {revision: 7, vms: []});
    deepEqual(paths, ['/vms', '/vms?since=1', '/vms']);
    await list.close();
    await standin.close();
  });

  it('reads a list whose transfer takes longer than the timeout of a call', async () => {
    const vms = Array.from({length: 200}, (_, index): Vm => ({...VM, id: `m${index}`}));
    const standin = await listen(0, {
      'GET /vms': ({response}) => sendJsonAtRate(response, {revision: 1, vms}, 20_000),
    });
    const list = new HttpVmList(`http://127.0.0.1:${standin.port}`, 300);
    const report = await list.read();
    await list.close();
    await standin.close();
    equal(report._unsafeUnwrap().vms.length, 200);
  });

  it('reports a response that violates the schema as malformed', async () => {
    const standin = await listen(0, {
      'GET /vms': ({response}) => {
        sendJson(response, {vms: 'none'});
      },
    });
    const list = new HttpVmList(`http://127.0.0.1:${standin.port}`);
    equal((await list.read())._unsafeUnwrapErr().kind, 'malformed');
    await list.close();
    await standin.close();
  });
});

describe('HttpWorkerClient', () => {
  it('starts and stops attempts and distinguishes unknown from refused failures', async () => {
    const worker = new WorkerServer('w1', {accelerators: 0, cpu: 1, memoryMb: 1000});
    const standin = await worker.start();
    const address = `127.0.0.1:${standin.port}`;
    const client = new HttpWorkerClient();
    worker.control({loseNext: 1});
    equal((await client.start(address, [START]))._unsafeUnwrapErr().kind, 'unknown');
    deepEqual((await client.start(address, [START]))._unsafeUnwrap(), [
      {attempt: 'a1', started: true},
    ]);
    const report = (await client.sync(address, {stop: ['a1']}))._unsafeUnwrap();
    deepEqual(
      report.attempts.map(({state}) => state),
      ['stopped'],
    );
    const malformed = {...START, leaseMs: 'long'} as unknown as TaskStart;
    equal((await client.start(address, [malformed]))._unsafeUnwrapErr().kind, 'refused');
    await client.close();
    await standin.close();
    const late = new HttpWorkerClient();
    equal((await late.sync(address, {}))._unsafeUnwrapErr().kind, 'unavailable');
    await late.close();
  });

  it('reports a start without a result as unknown', async () => {
    const standin = await listen(0, {
      'POST /v1/start': ({response}) => {
        sendJson(response, []);
      },
    });
    const client = new HttpWorkerClient();
    const outcome = await client.start(`127.0.0.1:${standin.port}`, [START]);
    equal(outcome._unsafeUnwrapErr().kind, 'unknown');
    await client.close();
    await standin.close();
  });
});
