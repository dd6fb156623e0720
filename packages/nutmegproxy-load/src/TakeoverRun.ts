/** Lets a new owner take up a fleet in this process and measures the processor time of its phases. */

import type {EventKind, EventSink, VmId} from '@nutmegproxy/core';
import type {MinionTarget, OrderAnswer, OrderFailure, StartOrder} from '@nutmegproxy/owner';
import type {ResultAsync} from 'neverthrow';

import {brand, DEFAULT_PLATFORM_BOUNDS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {EmulatedFleet, EmulatedMinion} from '@nutmegproxy/emulator';
import {EventLog} from '@nutmegproxy/events';
import {encodeRecord, formatJobKey, STATE_PREFIX} from '@nutmegproxy/jobs';
import {Owner, OWNER_EVENTS, OwnerElection} from '@nutmegproxy/owner';
import {DEFAULT_LEASE_TIMES} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {put} from '@nutmegproxy/store';
import {setTimeout as sleep} from 'node:timers/promises';

import type {TakeoverLoad, TakeoverSize} from './TakeoverLoad.ts';

import {drawTakeoverLoad} from './TakeoverLoad.ts';

/** Time in milliseconds without a start after which all starts of the backlog count as sent. */
const SETTLED_MS = 1_000;
const MAX_RUN_MS = 60_000;
const IDLE_MS = 2_000;
const CHECK_INTERVAL_MS = 50;
/** Time in milliseconds that a poll waits, once the owner lets it wait. */
const POLL_WAIT_MS = 400;
const RING_SIZE = 2_000;
/** Term of the owner that started the runs. */
const FORMER_TOKEN = 1;

/** `adoption` ends with the recovery, `starts` with the first order of a start. */
export type TakeoverPhase = 'adoption' | 'idle' | 'jobs' | 'minions' | 'sending' | 'starts';

/** Phases in their order, each with the event at which it ends, if an event does. */
const PHASE_ENDS: readonly (readonly [TakeoverPhase, EventKind | undefined])[] = [
  ['jobs', OWNER_EVENTS.JOBS_READ],
  ['minions', OWNER_EVENTS.MINIONS_LISTED],
  ['adoption', OWNER_EVENTS.RECOVERY_DONE],
  ['starts', undefined],
  ['sending', undefined],
  ['idle', undefined],
];

/** Processor time in milliseconds by phase; that of `idle` is for a second. */
export interface TakeoverFigures {
  readonly cpuMs: Readonly<Record<TakeoverPhase, number>>;
  /** Processor time from the acquisition to the first order of a start. */
  readonly firstStartMs: number;
  readonly runsAdopted: number;
  readonly size: TakeoverSize;
  readonly starts: number;
}

function readCpuMs(): number {
  const {system, user} = process.cpuUsage();
  return (system + user) / 1_000;
}

/** Adds up processor time by phase; a phase never begins again. */
class PhaseTimes {
  readonly cpuMs: Record<TakeoverPhase, number> = {
    adoption: 0,
    idle: 0,
    jobs: 0,
    minions: 0,
    sending: 0,
    starts: 0,
  };
  #current = 0;
  #since = readCpuMs();

  get phase(): TakeoverPhase {
    return PHASE_ENDS[this.#current]?.[0] ?? 'idle';
  }

  /** Ends the present phase; processor time after `endedAtMs` counts for no phase. */
  advance(endedAtMs = readCpuMs()): void {
    this.cpuMs[this.phase] += endedAtMs - this.#since;
    this.#since = readCpuMs();
    this.#current += 1;
  }

  /** Ends the present phase if the event ends it, and all phases before that of a later event. */
  observe(kind: EventKind): void {
    const at = PHASE_ENDS.findIndex(([, end]) => end === kind);
    while (at >= 0 && this.#current <= at) {
      this.advance();
    }
  }
}

/** Minions that count the starts that they are sent. */
class CountingFleet extends EmulatedFleet {
  lastStartAt = 0;
  /** Processor time of this process in milliseconds at the last start. */
  lastStartCpuMs = 0;
  onFirstStart: () => void = () => undefined;
  starts = 0;

  override start(target: MinionTarget, order: StartOrder): ResultAsync<OrderAnswer, OrderFailure> {
    if (this.starts === 0) {
      this.onFirstStart();
    }
    this.starts += 1;
    this.lastStartAt = performance.now();
    this.lastStartCpuMs = readCpuMs();
    return super.start(target, order);
  }
}

async function store(target: MemoryStore, key: string, value: Buffer): Promise<void> {
  const written = await put(target, key, value);
  if (written.isErr()) {
    throw new Error(written.error.message);
  }
}

async function storeLoad(target: MemoryStore, {minions, work}: TakeoverLoad): Promise<void> {
  for (const {job, progress} of work) {
    await store(target, formatJobKey(job.id, 'request'), encodeRecord(job));
    if (progress !== undefined) {
      await store(target, formatJobKey(job.id, 'progress'), encodeRecord(progress));
    }
  }
  const roster = minions.map((description) => ({description, firstBornAt: description.bornAt}));
  await store(target, `${STATE_PREFIX}roster`, Buffer.from(JSON.stringify(roster)));
}

function createFleet({minions, runs}: TakeoverLoad): CountingFleet {
  const fleet = new CountingFleet(SYSTEM_CLOCK);
  fleet.maxPollWaitMs = POLL_WAIT_MS;
  const now = SYSTEM_CLOCK.monotonic();
  for (const description of minions) {
    const behaviour = {durationMs: Infinity, outcome: 'done'} as const;
    fleet.add(new EmulatedMinion(description, () => behaviour));
  }
  for (const {minion, number, task} of runs) {
    const order = {checkpoint: undefined, number, payload: '', task, ticket: undefined};
    const times = {token: FORMER_TOKEN, untilMs: now + DEFAULT_PLATFORM_BOUNDS.maxMinionLeaseMs};
    fleet.minions.get(minion)?.start({...order, ...times} as StartOrder, now);
  }
  return fleet;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const startedAt = performance.now();
  while (!condition()) {
    if (performance.now() - startedAt > MAX_RUN_MS) {
      throw new Error('the takeover did not end in time');
    }
    await sleep(CHECK_INTERVAL_MS);
  }
}

/** Lets a new owner take up a fleet that a former one has left. */
export async function measureTakeover(size: TakeoverSize, seed: number): Promise<TakeoverFigures> {
  const clock = SYSTEM_CLOCK;
  const load = drawTakeoverLoad(size, seed, clock.wall());
  const platformStore = new MemoryStore();
  await storeLoad(platformStore, load);
  const fleet = createFleet(load);
  const vm = brand<VmId>('vm-1');
  const log = new EventLog({
    clock,
    destination: {write: () => undefined},
    identity: {dataCentre: brand('dc'), incarnation: brand('1'), region: brand('region'), vm},
    level: 'info',
    ringSize: RING_SIZE,
  });
  const times = new PhaseTimes();
  const events: EventSink = {
    record: (kind, fields) => {
      times.observe(kind);
      log.record(kind, fields);
    },
  };
  fleet.onFirstStart = () => {
    times.advance();
  };
  const options = {clock, events, leaseTimes: DEFAULT_LEASE_TIMES, store: platformStore, vm};
  const election = new OwnerElection(options);
  const ownership = (await election.acquire())._unsafeUnwrap();
  void election.renew(ownership);
  const owner = new Owner({
    ...options,
    advice: undefined,
    bounds: DEFAULT_PLATFORM_BOUNDS,
    directory: fleet,
    machines: undefined,
    orders: fleet,
    ownership,
    queues: () => load.queues,
    statusRetentionMs: MAX_RUN_MS,
  });
  const ended = owner.run();
  await waitUntil(() => fleet.starts > 0 && performance.now() - fleet.lastStartAt > SETTLED_MS);
  times.advance(fleet.lastStartCpuMs);
  await sleep(IDLE_MS);
  times.advance();
  const {starts} = fleet;
  owner.stop('end of the run');
  await ended;
  await platformStore.close();
  const {cpuMs} = times;
  return {
    cpuMs: {...cpuMs, idle: (cpuMs.idle * 1_000) / IDLE_MS},
    firstStartMs: cpuMs.jobs + cpuMs.minions + cpuMs.adoption + cpuMs.starts,
    runsAdopted: load.runs.length,
    size,
    starts,
  };
}
