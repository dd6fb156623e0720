import {equal, ok} from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {after, before, describe, it} from 'node:test';

import {TestNetwork} from '../../TestNetwork.ts';

const CALL = `
fetch('http://127.0.0.1:' + process.argv[1], {signal: AbortSignal.timeout(1000)})
  .then((answer) => answer.text(), () => 'nothing').then(console.log);
`;

describe('TestNetwork', () => {
  const network = new TestNetwork();
  let served = 0;
  const server = createServer((_request, response) => {
    served += 1;
    response.end('served');
  });
  let port = 0;

  async function call(place: string): Promise<string> {
    const env = {...process.env, ...network.createEnvironment(place)};
    const child = spawn(process.execPath, ['-e', CALL, String(port)], {env});
    const output: string[] = [];
    child.stdout.on('data', (chunk) => output.push(String(chunk)));
    await once(child, 'close');
    return output.join('').trim();
  }

  before(async () => {
    await network.start();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    port = typeof address === 'object' ? (address?.port ?? 0) : 0;
    network.assignPort(port, 'store');
  });

  after(async () => {
    await network.close();
    server.closeAllConnections();
    server.close();
  });

  it('partitions one direction of one endpoint, and heals it', async () => {
    equal(await call('e1'), 'served');
    network.partition('store', 'e1');
    equal(await call('e1'), 'nothing');
    equal(served, 2, 'the call took effect and its response was lost');
    equal(await call('e2'), 'served');
    network.heal('store', 'e1');
    equal(await call('e1'), 'served');
  });

  it('keeps a direction partitioned until every partition is healed', async () => {
    network.partition('e1', 'store');
    network.partition('e1', 'store');
    network.heal('e1', 'store');
    const before = served;
    equal(await call('e1'), 'nothing');
    equal(served, before, 'the call had no effect');
    network.heal('e1', 'store');
    ok((await call('e1')) === 'served');
  });
});
