/** Random actions on a cluster, for property tests. */

import type {Process} from './Cluster.ts';

import {Cluster} from './Cluster.ts';

/** One action; `a` and `b` choose what it concerns. */
export interface Action {
  readonly a: number;
  readonly b: number;
  readonly kind: ActionKind;
}

export type ActionKind = keyof typeof HANDLERS;

const CLOCK_RATES = [1, 1.04, 0.96, 1.02];
const MAX_PROCESSES = 8;

function pick<Item>(items: readonly Item[], index: number): Item | undefined {
  return items[index % items.length];
}

/** Processes that are not stopped by a fault of the machine. */
class World {
  readonly cluster: Cluster;
  readonly frozen = new Set<Process>();

  constructor(cluster: Cluster) {
    this.cluster = cluster;
  }

  active(): Process[] {
    return this.cluster.processes.filter((each) => each.alive && !this.frozen.has(each));
  }
}

type Handler = (world: World, a: number, b: number) => Promise<void> | void;

const PASSAGES = ['cut', 'hold', 'open', 'open'] as const;

const HANDLERS = {
  add: ({cluster}, a) => {
    if (cluster.processes.length < MAX_PROCESSES) {
      cluster.add(`n${cluster.processes.length}`, pick(CLOCK_RATES, a) ?? 1);
    }
  },
  advance: ({cluster}, a, b) => {
    cluster.clock.advance((a * 37 + b) % 2_500);
  },
  breathe: ({cluster}) => cluster.breathe(),
  dispatch: (world, a, b) => {
    const minion = pick(world.cluster.minions, b);
    if (minion !== undefined) {
      for (let n = 0; n < 8; n += 1) {
        pick(world.active(), a)?.dispatch(minion);
      }
    }
  },
  end: (world, a) => {
    const vm = pick(world.cluster.processes, a)?.node.identity.vm;
    if (vm !== undefined && world.active().some(({node}) => node.identity.vm !== vm)) {
      world.cluster.end(vm);
    }
  },
  expire: ({cluster}, a) => {
    cluster.expireCall(a % Math.max(1, cluster.engine.calls.length));
  },
  finish: (world, a) => pick(world.active(), a)?.finish(),
  freeze: (world, a) => {
    const process = pick(world.active(), a);
    if (process !== undefined && world.active().length > 1) {
      world.frozen.add(process);
    }
  },
  glitch: async (world, a, b) => {
    const reader = pick(world.active(), a);
    reader?.readList(pick(world.cluster.processes, b)?.node.identity.vm);
    reader?.start('record');
    await world.cluster.breathe();
    reader?.readList();
  },
  kill: (world, a) => {
    if (world.active().length > 1) {
      pick(world.active(), a)?.kill();
    }
  },
  lag: ({cluster}, a) => {
    cluster.list.lag = a % 4;
  },
  leave: (world, a) => {
    if (world.active().length > 1) {
      pick(world.active(), a)?.membership.leave();
    }
  },
  link: ({cluster}, a, b) => {
    const from = pick(cluster.processes, a)?.node.identity.vm;
    const to = pick(cluster.processes, b)?.node.identity.vm;
    if (from !== undefined && to !== undefined) {
      cluster.network.setLinkState(from, to, pick(PASSAGES, a + b) ?? 'open');
    }
  },
  open: ({cluster}, a) => {
    cluster.openCall(a % Math.max(1, cluster.engine.calls.length));
  },
  partition: ({cluster}, a) => {
    for (const x of cluster.processes) {
      for (const y of cluster.processes) {
        const apart = cluster.processes.indexOf(x) % 2 !== cluster.processes.indexOf(y) % 2;
        const passage = apart && a % 2 === 0 ? 'cut' : 'open';
        cluster.network.setLinkState(x.node.identity.vm, y.node.identity.vm, passage);
      }
    }
  },
  release: ({cluster}, a, b) => {
    const from = pick(cluster.processes, a)?.node.identity.vm;
    const to = pick(cluster.processes, b)?.node.identity.vm;
    if (from !== undefined && to !== undefined) {
      cluster.network.release(from, to);
    }
  },
  restart: ({cluster}, a) => {
    const dead = cluster.processes.filter(
      ({alive, node}) => !alive && !cluster.ended.has(node.identity.vm),
    );
    const vm = pick(dead, a)?.node.identity.vm;
    const back = cluster.processes.some((each) => each.alive && each.node.identity.vm === vm);
    if (vm !== undefined && !back && cluster.processes.length < MAX_PROCESSES) {
      cluster.add(vm);
    }
  },
  run: (world, a) => world.cluster.run(1 + (a % 6), world.active()),
  runLong: (world, a) => world.cluster.run(20 + a, world.active()),
  start: (world, a, b) => pick(world.active(), a)?.start(b % 2 === 0 ? 'record' : 'tenure'),
  store: (world, a, b) => {
    for (const process of b % 3 === 0
      ? world.cluster.processes
      : [pick(world.cluster.processes, b)]) {
      if (process !== undefined) {
        process.store.down = a % 2 === 0;
      }
    }
  },
  thaw: (world) => {
    world.frozen.clear();
  },
} satisfies Record<string, Handler>;

/** Kinds of actions; common ones stand more than once. */
export const ACTION_KINDS: readonly ActionKind[] = [
  ...(Object.keys(HANDLERS) as ActionKind[]),
  'run',
  'run',
  'run',
  'open',
  'open',
  'open',
  'breathe',
  'breathe',
  'dispatch',
  'dispatch',
  'start',
  'start',
  'advance',
];

/** Runs the actions on members that have joined; checks after each action. */
export async function runChaos(memberCount: number, actions: readonly Action[]): Promise<Cluster> {
  const cluster = new Cluster(2, 3);
  const world = new World(cluster);
  for (let n = 0; n < memberCount; n += 1) {
    cluster.add(`n${n}`, CLOCK_RATES[n]);
  }
  await cluster.run(8);
  for (const {a, b, kind} of actions) {
    await HANDLERS[kind](world, a, b);
    cluster.check();
  }
  return cluster;
}

/** Ends all faults and lets everything come to rest. */
export async function healAll(cluster: Cluster): Promise<void> {
  for (const {node, store} of cluster.processes) {
    store.down = false;
    for (const other of cluster.processes) {
      cluster.network.setLinkState(node.identity.vm, other.node.identity.vm, 'open');
      cluster.network.release(node.identity.vm, other.node.identity.vm);
    }
  }
  await cluster.run(60);
}
