/** Random faults and actions on a cluster, for property tests. */

import type {Process} from './Cluster.ts';

import {Cluster} from './Cluster.ts';

/** One action; `a` and `b` are random arguments, such as the index of a process. */
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

/** The cluster, and its processes that are frozen by a simulated machine fault. */
class ChaosState {
  readonly cluster: Cluster;
  readonly frozenProcesses = new Set<Process>();

  constructor(cluster: Cluster) {
    this.cluster = cluster;
  }

  getActiveProcesses(): Process[] {
    return this.cluster.processes.filter((each) => each.isAlive && !this.frozenProcesses.has(each));
  }
}

type Handler = (state: ChaosState, a: number, b: number) => Promise<void> | void;

const LINK_STATES = ['cut', 'hold', 'open', 'open'] as const;

const HANDLERS = {
  add: ({cluster}, a) => {
    if (cluster.processes.length < MAX_PROCESSES) {
      cluster.add(`n${cluster.processes.length}`, pick(CLOCK_RATES, a) ?? 1);
    }
  },
  advance: ({cluster}, a, b) => {
    cluster.clock.advance((a * 37 + b) % 2_500);
  },
  breathe: ({cluster}) => cluster.flushPromises(),
  dispatch: (state, a, b) => {
    const minion = pick(state.cluster.minions, b);
    if (minion !== undefined) {
      for (let n = 0; n < 8; n += 1) {
        pick(state.getActiveProcesses(), a)?.dispatch(minion);
      }
    }
  },
  end: (state, a) => {
    const vm = pick(state.cluster.processes, a)?.node.identity.vm;
    if (vm !== undefined && state.getActiveProcesses().some(({node}) => node.identity.vm !== vm)) {
      state.cluster.endVm(vm);
    }
  },
  expire: ({cluster}, a) => {
    cluster.expireCall(a % Math.max(1, cluster.engine.calls.length));
  },
  finish: (state, a) => pick(state.getActiveProcesses(), a)?.finish(),
  freeze: (state, a) => {
    const process = pick(state.getActiveProcesses(), a);
    if (process !== undefined && state.getActiveProcesses().length > 1) {
      state.frozenProcesses.add(process);
    }
  },
  glitch: async (state, a, b) => {
    const reader = pick(state.getActiveProcesses(), a);
    reader?.readList(pick(state.cluster.processes, b)?.node.identity.vm);
    reader?.startStep('record');
    await state.cluster.flushPromises();
    reader?.readList();
  },
  kill: (state, a) => {
    if (state.getActiveProcesses().length > 1) {
      pick(state.getActiveProcesses(), a)?.kill();
    }
  },
  lag: ({cluster}, a) => {
    cluster.list.lag = a % 4;
  },
  leave: (state, a) => {
    if (state.getActiveProcesses().length > 1) {
      pick(state.getActiveProcesses(), a)?.membership.leave();
    }
  },
  link: ({cluster}, a, b) => {
    const from = pick(cluster.processes, a)?.node.identity.vm;
    const to = pick(cluster.processes, b)?.node.identity.vm;
    if (from !== undefined && to !== undefined) {
      cluster.network.setLinkState(from, to, pick(LINK_STATES, a + b) ?? 'open');
    }
  },
  open: ({cluster}, a) => {
    cluster.advanceCall(a % Math.max(1, cluster.engine.calls.length));
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
      ({isAlive, node}) => !isAlive && !cluster.terminatedVms.has(node.identity.vm),
    );
    const vm = pick(dead, a)?.node.identity.vm;
    const back = cluster.processes.some((each) => each.isAlive && each.node.identity.vm === vm);
    if (vm !== undefined && !back && cluster.processes.length < MAX_PROCESSES) {
      cluster.add(vm);
    }
  },
  run: (state, a) => state.cluster.run(1 + (a % 6), state.getActiveProcesses()),
  runLong: (state, a) => state.cluster.run(20 + a, state.getActiveProcesses()),
  start: (state, a, b) =>
    pick(state.getActiveProcesses(), a)?.startStep(b % 2 === 0 ? 'record' : 'tenure'),
  store: (state, a, b) => {
    for (const process of b % 3 === 0
      ? state.cluster.processes
      : [pick(state.cluster.processes, b)]) {
      if (process !== undefined) {
        process.store.isDown = a % 2 === 0;
      }
    }
  },
  thaw: (state) => {
    state.frozenProcesses.clear();
  },
} satisfies Record<string, Handler>;

/** Kinds of actions; frequent ones are listed more than once. */
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

/** Runs the actions on members that have joined; checks the invariants after each action. */
export async function runChaos(memberCount: number, actions: readonly Action[]): Promise<Cluster> {
  const cluster = new Cluster(2, 3);
  const state = new ChaosState(cluster);
  for (let n = 0; n < memberCount; n += 1) {
    cluster.add(`n${n}`, CLOCK_RATES[n]);
  }
  await cluster.run(8);
  for (const {a, b, kind} of actions) {
    await HANDLERS[kind](state, a, b);
    cluster.checkInvariants();
  }
  return cluster;
}

/** Ends all faults and runs the cluster until it is stable. */
export async function healFaults(cluster: Cluster): Promise<void> {
  for (const {node, store} of cluster.processes) {
    store.isDown = false;
    for (const other of cluster.processes) {
      cluster.network.setLinkState(node.identity.vm, other.node.identity.vm, 'open');
      cluster.network.release(node.identity.vm, other.node.identity.vm);
    }
  }
  await cluster.run(60);
}
