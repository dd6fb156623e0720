/** Program that runs one stand-in: `standins store --port 0`. Prints `ready <port>`. */

import {parseArgs} from 'node:util';

import type {Standin} from './HttpListener.ts';

import {StoreServer} from './StoreServer.ts';

type StandinStarter = (port: number) => Promise<Standin>;

const STARTERS: Readonly<Record<string, StandinStarter>> = {
  store: (port) => new StoreServer().start(port),
};

async function main(): Promise<void> {
  const {positionals, values} = parseArgs({
    allowPositionals: true,
    options: {port: {default: '0', type: 'string'}},
  });
  const start = STARTERS[positionals[0] ?? ''];
  if (start === undefined) {
    console.error(`usage: standins ${Object.keys(STARTERS).join('|')} --port N`);
    process.exitCode = 2;
    return;
  }
  const standin = await start(Number(values.port));
  console.log(`ready ${standin.port}`);
}

void main();
