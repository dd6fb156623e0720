/**
 * The learned policy: sizes and run times from reports, interference between pairs of entries,
 * room kept for urgent work, eviction only when a late start is predicted, quarantine of workers
 * that fail what their peers complete.
 */

import type {AttemptId, EntryId, Instant, TeamId, WorkerId} from '@nutmegproxy/core';
import type {Quota, Resources} from '@nutmegproxy/schema';

import type {RunTimePrediction} from './EvictionPlanner.ts';
import type {
  AttemptObservation,
  AttemptOutcome,
  PlacedAttempt,
  Placement,
  PlacementDecision,
  PlacementWish,
  ThrottleWish,
  WorkerProfile,
} from './Placement.ts';
import type {Run} from './RunHistory.ts';
import type {WorkerLoad} from './WorkerLedger.ts';
import type {Resident} from './WorkerScore.ts';

import {AgedClaim} from './AgedClaim.ts';
import {Claims} from './Claims.ts';
import {EntryKnowledge} from './EntryKnowledge.ts';
import {EvictionPlanner} from './EvictionPlanner.ts';
import {FleetRoom} from './FleetRoom.ts';
import {BATCH_AGEING_MS, CANDIDATE_LIMIT, SCAN_LIMIT} from './LearnedConstants.ts';
import {Quarantine} from './Quarantine.ts';
import {RackCounts} from './RackCounts.ts';
import {fitsInto, maxResources, subtractResources} from './ResourcesUtils.ts';
import {RunHistory} from './RunHistory.ts';
import {QUOTA_DECISIONS, TeamQuotas} from './TeamQuotas.ts';
import {Throttles} from './Throttles.ts';
import {UrgentDemand} from './UrgentDemand.ts';
import {WorkerIndex} from './WorkerIndex.ts';
import {WorkerLedger} from './WorkerLedger.ts';
import {scoreWorker} from './WorkerScore.ts';

/** Outcomes that speak against the worker. */
const FAILED_OUTCOMES: Record<AttemptOutcome, boolean | undefined> = {
  evicted: undefined,
  failed: true,
  lost: true,
  refused: undefined,
  succeeded: false,
};

/** Places by learned sizes and interference. */
export class LearnedPlacement implements Placement {
  readonly #agedClaim: AgedClaim;
  readonly #claims = new Claims();
  readonly #demand = new UrgentDemand();
  readonly #history = new RunHistory();
  readonly #index = new WorkerIndex();
  readonly #knowledge: EntryKnowledge;
  readonly #peaks = new Map<AttemptId, {cpu: number; memoryMb: number}>();
  readonly #planner: EvictionPlanner;
  readonly #quarantine: Quarantine;
  readonly #quotas = new TeamQuotas();
  readonly #rackCounts = new RackCounts();
  readonly #room = new FleetRoom();
  readonly #throttles = new Throttles();
  /** Reservations as the workers and the log know them; never above those in the ledger. */
  readonly #told = new Map<AttemptId, Resources>();
  readonly #ledger = new WorkerLedger((worker, load) => {
    this.#index.update(worker, load);
    this.#room.update(worker, load);
  });

  constructor(knowledge = new EntryKnowledge()) {
    this.#knowledge = knowledge;
    const runTime: RunTimePrediction = (entry, declared) => knowledge.runTimeMs(entry, declared);
    this.#agedClaim = new AgedClaim(this.#ledger, this.#claims, runTime);
    this.#planner = new EvictionPlanner(this.#ledger, this.#claims, runTime);
    this.#quarantine = new Quarantine(knowledge);
  }

  adopt(attempt: PlacedAttempt): void {
    if (!this.#ledger.attempt(attempt.attempt)) {
      this.#ledger.add(attempt);
      this.#told.set(attempt.attempt, attempt.reserved);
      this.#noteStart(attempt);
    }
  }

  decide(wish: PlacementWish, now: Instant): PlacementDecision {
    this.#claims.expire(now);
    const largest = this.#room.largestWorker();
    if (largest && !fitsInto(wish.declared, largest)) {
      return {kind: 'impossible', reason: 'the task is larger than every worker'};
    }
    const reserved = this.#reservation(wish);
    const verdict = this.#quotas.verdict(wish, reserved);
    if (verdict !== 'within') {
      return QUOTA_DECISIONS[verdict];
    }
    if (wish.class === 'batch' && !this.#leavesHeadroom(wish, reserved, now)) {
      return {kind: 'wait', reason: 'the room left is kept for latency-critical tasks'};
    }
    const worker = this.#choose(wish, reserved, now);
    if (worker !== undefined) {
      return this.#place(wish, reserved, worker, now);
    }
    const trusts = (load: WorkerLoad): boolean => this.#trusts(load, wish, now);
    if (wish.class === 'batch' && now - wish.queuedAt >= BATCH_AGEING_MS) {
      this.#agedClaim.hold(wish, reserved, trusts, now);
    }
    return this.#planner.plan(wish, reserved, trusts, now);
  }

  evictions(now: Instant): readonly AttemptId[] {
    return this.#planner.overdue(this.#room.overfull(), now);
  }

  observe(observation: AttemptObservation, now: Instant): void {
    const attempt = this.#ledger.attempt(observation.attempt);
    const load = attempt && this.#ledger.load(attempt.worker);
    if (!load) {
      return;
    }
    const {cpu, memoryMb, speed} = observation.usage;
    const run = this.#history.run(attempt.worker, attempt.attempt);
    if (run) {
      run.cpuShare = cpu / Math.max(1, load.profile.capacity.cpu);
    }
    this.#learnSize(attempt, cpu, memoryMb);
    if (speed !== undefined) {
      this.#learnSpeed(attempt, speed, observation.measuredAt, now);
    }
  }

  release(id: AttemptId, outcome: AttemptOutcome, now: Instant): void {
    this.#claims.remove(id);
    const attempt = this.#ledger.remove(id);
    if (!attempt) {
      return;
    }
    this.#noteEnd(attempt, now);
    this.#planner.end(id, now);
    const failed = FAILED_OUTCOMES[outcome];
    if (failed !== undefined) {
      this.#quarantine.end(attempt.worker, attempt.entry, failed, now);
    }
    if (outcome === 'succeeded') {
      this.#knowledge.addRunTime(attempt.entry, now - attempt.startedAt);
    }
  }

  removeWorker(worker: WorkerId): void {
    for (const {entry} of this.#history.present(worker)) {
      this.#countRack(entry, worker, -1);
    }
    this.#ledger.removeWorker(worker);
    this.#history.forget(worker);
    this.#quarantine.forget(worker);
  }

  setQuotas(shares: ReadonlyMap<TeamId, Quota>): void {
    this.#quotas.setShares(shares);
  }

  setWorker(worker: WorkerProfile): void {
    this.#ledger.setWorker(worker);
  }

  throttles(): readonly ThrottleWish[] {
    return this.#throttles.wishes();
  }

  #available(load: WorkerLoad, wish: PlacementWish, now: Instant): Resources {
    return subtractResources(load.free, this.#claims.claimed(load.profile.id, wish, now));
  }

  #choose(wish: PlacementWish, reserved: Resources, now: Instant): undefined | WorkerId {
    let best: undefined | {score: number; worker: WorkerId};
    for (const load of this.#fitting(wish, reserved, now)) {
      const score = scoreWorker(
        wish,
        reserved,
        load,
        this.#residents(load),
        this.#knowledge.interference,
        (entry, rack) => this.#rackCounts.count(entry, rack),
        now,
      );
      if (!best || score < best.score) {
        best = {score, worker: load.profile.id};
      }
    }
    return best?.worker;
  }

  *#fitting(wish: PlacementWish, reserved: Resources, now: Instant): Generator<WorkerLoad> {
    const claimed = this.#claims.claimOf(wish.attempt, now);
    let found = 0;
    let scanned = 0;
    for (const worker of this.#withClaim(claimed, reserved)) {
      scanned += 1;
      const load = this.#ledger.load(worker);
      if (load && this.#trusts(load, wish, now)) {
        if (fitsInto(reserved, this.#available(load, wish, now))) {
          found += 1;
          yield load;
        }
      }
      if (found >= CANDIDATE_LIMIT || scanned >= SCAN_LIMIT) {
        return;
      }
    }
  }

  #learnSize(attempt: PlacedAttempt, cpu: number, memoryMb: number): void {
    const before = this.#peaks.get(attempt.attempt);
    const peak = {
      cpu: Math.max(before?.cpu ?? 0, cpu),
      memoryMb: Math.max(before?.memoryMb ?? 0, memoryMb),
    };
    this.#peaks.set(attempt.attempt, peak);
    if (!before) {
      this.#knowledge.addFirst(attempt.entry, peak.cpu, peak.memoryMb);
    } else if (peak.cpu > before.cpu || peak.memoryMb > before.memoryMb) {
      this.#knowledge.addRise(attempt.entry, peak.cpu, peak.memoryMb);
    }
    const measured = {accelerators: attempt.declared.accelerators, ...peak};
    // What the worker was told is never taken back while the attempt runs.
    const told = this.#told.get(attempt.attempt) ?? attempt.declared;
    const wanted = maxResources(maxResources(this.#reservation(attempt), measured), told);
    if (!fitsInto(wanted, attempt.reserved) || !fitsInto(attempt.reserved, wanted)) {
      this.#quotas.remove(attempt);
      this.#ledger.resize(attempt.attempt, wanted);
      this.#quotas.add({...attempt, reserved: wanted});
    }
  }

  #learnSpeed(attempt: PlacedAttempt, speed: number, measuredAt: Instant, now: Instant): void {
    const others = this.#history.coRunners(attempt.worker, attempt.attempt, measuredAt);
    const coRunners = others.map(({cpuShare, entry}) => ({entry, share: cpuShare}));
    this.#knowledge.interference.learn(attempt.entry, coRunners, speed, now);
    if (attempt.class !== 'latency-critical') {
      return;
    }
    const worst = this.#worstDisturber(attempt.entry, others, now);
    if (worst && this.#throttles.disturbed(worst.attempt, speed, now)) {
      this.#planner.wish(worst.attempt);
    }
  }

  #leavesHeadroom(wish: PlacementWish, reserved: Resources, now: Instant): boolean {
    if (now - wish.queuedAt >= BATCH_AGEING_MS) {
      return true;
    }
    return this.#room.holds(reserved, this.#demand.headroom(now));
  }

  #noteEnd(attempt: PlacedAttempt, now: Instant): void {
    this.#quotas.remove(attempt);
    this.#history.end(attempt.worker, attempt.attempt, now);
    this.#peaks.delete(attempt.attempt);
    this.#told.delete(attempt.attempt);
    this.#throttles.forget(attempt.attempt);
    this.#countRack(attempt.entry, attempt.worker, -1);
  }

  #noteStart(attempt: PlacedAttempt): void {
    this.#quotas.add(attempt);
    const capacity = this.#ledger.load(attempt.worker)?.profile.capacity;
    const run: Run = {
      attempt: attempt.attempt,
      cpuShare: attempt.reserved.cpu / Math.max(1, capacity?.cpu ?? 1),
      endedAt: undefined,
      entry: attempt.entry,
      startedAt: attempt.startedAt,
    };
    this.#history.add(attempt.worker, run);
    this.#countRack(attempt.entry, attempt.worker, 1);
  }

  #countRack(entry: EntryId, worker: WorkerId, change: number): void {
    this.#rackCounts.change(entry, this.#ledger.load(worker)?.profile.rack, change);
  }

  #place(
    wish: PlacementWish,
    reserved: Resources,
    worker: WorkerId,
    now: Instant,
  ): PlacementDecision {
    const placed = {...wish, reserved, startedAt: now, worker};
    this.#ledger.reserve(placed);
    this.#noteStart(placed);
    this.#claims.remove(wish.attempt);
    if (this.#quarantine.trust(worker, now) === 'canary') {
      this.#quarantine.startCanary(worker);
    }
    if (wish.class === 'latency-critical') {
      this.#demand.arrive(reserved, now);
    }
    // The surplus for an entry that is little known is held here alone and may shrink later.
    const told = this.#knowledge.expected(wish.entry, wish.declared);
    this.#told.set(wish.attempt, told);
    return {kind: 'placed', reserved: told, worker};
  }

  #reservation(wish: PlacementWish): Resources {
    const largest = this.#room.largestWorker() ?? wish.declared;
    return this.#knowledge.reservation(wish.entry, wish.declared, largest);
  }

  #residents(load: WorkerLoad): Resident[] {
    return [...this.#history.present(load.profile.id)].map((run) => ({
      class: this.#ledger.attempt(run.attempt)?.class ?? 'batch',
      entry: run.entry,
      share: run.cpuShare,
    }));
  }

  #trusts({profile}: WorkerLoad, wish: PlacementWish, now: Instant): boolean {
    const trust = profile.drained ? 'none' : this.#quarantine.trust(profile.id, now);
    // A trial is made with work that may wait, never with an urgent task.
    return trust === 'open' || (trust === 'canary' && wish.class === 'batch');
  }

  *#withClaim(claimed: undefined | WorkerId, amount: Resources): Generator<WorkerId> {
    if (claimed !== undefined) {
      yield claimed;
    }
    yield* this.#index.candidates(amount);
  }

  #worstDisturber(entry: EntryId, others: readonly Run[], now: Instant): Run | undefined {
    let worst: undefined | {harm: number; run: Run};
    for (const run of others) {
      const isBatch = this.#ledger.attempt(run.attempt)?.class === 'batch';
      const harm = this.#knowledge.interference.predict(
        entry,
        {entry: run.entry, share: run.cpuShare},
        now,
      );
      if (isBatch && (!worst || harm.mean > worst.harm)) {
        worst = {harm: harm.mean, run};
      }
    }
    return worst?.run;
  }
}
