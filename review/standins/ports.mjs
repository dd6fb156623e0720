/** Finds free ports below those that the system gives to outgoing connections. */

import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';

const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const used = new Set();

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns a port that is free now and that this process has not been given before. */
export async function findFreePort(host) {
  for (;;) {
    const port = FIRST_PORT + randomInt(PORT_COUNT);
    if (!used.has(port) && (await isFree(host, port))) {
      used.add(port);
      return port;
    }
  }
}
