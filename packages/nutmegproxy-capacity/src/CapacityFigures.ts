/** Computes rates per entry VM from the totals of a measurement. */

import type {StoreCounters} from '@nutmegproxy/standins';

import {mean, sum} from 'simple-statistics';

import type {EntryTotals} from './MeasuredEntry.ts';
import type {FleetCounts} from './WorkerFleet.ts';

/** All measured totals at one point in time. */
export interface CapacityTotals {
  /** Monotonic time in ms. */
  readonly at: number;
  readonly entries: readonly EntryTotals[];
  readonly fleet: FleetCounts;
  /** Bytes on all connections between entry VMs, each counted at one end. */
  readonly linkBytes: number;
  /** Number of jobs and catalogue changes that were not accepted. */
  readonly refused: number;
  readonly storeCalls: StoreCounters;
}

/** Means over the entry VMs; bytes are per second and count both directions. */
export interface CapacityFigures {
  readonly cpuPercent: number;
  readonly keepalives: number;
  readonly listBytes: number;
  readonly peerBytes: number;
  readonly refused: number;
  readonly residentMb: number;
  readonly startsDone: number;
  readonly storeBytes: number;
  readonly storeReads: number;
  readonly storeWrites: number;
  readonly syncs: number;
  readonly watches: number;
  readonly workerBytes: number;
}

const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;

function sumRelayBytes(totals: EntryTotals, endpoint: 'list' | 'store'): number {
  return totals[endpoint]['from-target'] + totals[endpoint]['to-target'];
}

/** Sums the totals over all entry VMs. */
function sumTotals({entries, fleet, linkBytes, refused, storeCalls}: CapacityTotals) {
  const list = sum(entries.map((each) => sumRelayBytes(each, 'list')));
  const store = sum(entries.map((each) => sumRelayBytes(each, 'store')));
  const worker = fleet.receivedBytes + fleet.sentBytes;
  return {
    cpuMs: sum(entries.map(({cpuMs}) => cpuMs)),
    keepalives: storeCalls.keepalive + storeCalls.grant + storeCalls.revoke,
    list,
    // Doubled because each byte is traffic for both the sending and the receiving entry VM.
    peer: 2 * linkBytes,
    reads: storeCalls.read,
    refused,
    startsDone: fleet.started,
    store,
    syncs: fleet.syncs,
    watches: storeCalls.watch,
    worker,
    writes: storeCalls.write,
  };
}

/** Computes the mean rates per entry VM between two readings. */
export function compareTotals(before: CapacityTotals, after: CapacityTotals): CapacityFigures {
  const seconds = (after.at - before.at) / MS_PER_SECOND;
  const [from, to] = [sumTotals(before), sumTotals(after)];
  const rate = (name: keyof typeof from): number =>
    (to[name] - from[name]) / seconds / after.entries.length;
  return {
    cpuPercent: (rate('cpuMs') / MS_PER_SECOND) * PERCENT,
    keepalives: rate('keepalives'),
    listBytes: rate('list'),
    peerBytes: rate('peer'),
    refused: to.refused - from.refused,
    residentMb: mean(after.entries.map(({residentBytes}) => residentBytes)) / BYTES_PER_MB,
    startsDone: rate('startsDone'),
    storeBytes: rate('store'),
    storeReads: rate('reads'),
    storeWrites: rate('writes'),
    syncs: rate('syncs'),
    watches: rate('watches'),
    workerBytes: rate('worker'),
  };
}
