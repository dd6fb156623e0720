/** Program that runs one stand-in: `standins store --port 0`. Prints `ready <port>`. */

import {parseArgs} from 'node:util';

import type {Standin} from './HttpListener.ts';

import {MinionServer} from './MinionServer.ts';
import {StoreServer} from './StoreServer.ts';
import {TcpRelay} from './TcpRelay.ts';
import {VmListServer} from './VmListServer.ts';
import {WorkerServer} from './WorkerServer.ts';

const OPTIONS = {
  accelerators: {default: '0', type: 'string'},
  connections: {default: '64', type: 'string'},
  cpu: {default: '16', type: 'string'},
  'memory-mb': {default: '60000', type: 'string'},
  name: {default: 'standin', type: 'string'},
  port: {default: '0', type: 'string'},
  slots: {default: '8', type: 'string'},
  target: {default: '127.0.0.1:1', type: 'string'},
} as const;

type StandinOptions = Readonly<Record<keyof typeof OPTIONS, string>>;
type StandinStarter = (options: StandinOptions, port: number) => Promise<Standin>;

async function startRelay(options: StandinOptions, port: number): Promise<Standin> {
  const [host = '', targetPort] = options.target.split(':');
  const relay = await new TcpRelay({host, port: Number(targetPort)}).start(port);
  console.log(`control ${relay.controlPort}`);
  return relay;
}

function startWorker(options: StandinOptions, port: number): Promise<Standin> {
  const capacity = {
    accelerators: Number(options.accelerators),
    cpu: Number(options.cpu),
    memoryMb: Number(options['memory-mb']),
  };
  return new WorkerServer(options.name, capacity).start(port);
}

const STARTERS: Readonly<Record<string, StandinStarter>> = {
  minion: ({connections, slots}, port) =>
    new MinionServer({connections: Number(connections), slots: Number(slots)}).start(port),
  relay: startRelay,
  store: (_options, port) => new StoreServer().start(port),
  'vm-list': (_options, port) => new VmListServer().start(port),
  worker: startWorker,
};

async function main(): Promise<void> {
  const {positionals, values} = parseArgs({allowPositionals: true, options: OPTIONS});
  const start = STARTERS[positionals[0] ?? ''];
  if (start === undefined) {
    console.error(`usage: standins ${Object.keys(STARTERS).join('|')} --port N`);
    process.exitCode = 2;
    return;
  }
  const standin = await start(values, Number(values.port));
  console.log(`ready ${standin.port}`);
}

void main();
