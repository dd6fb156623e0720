/**
 * The learned policy. It estimates sizes, run times and interference from usage reports, keeps
 * headroom for latency-critical tasks, evicts only when a late start is predicted, and quarantines
 * workers that fail tasks that succeed elsewhere.
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
  PlacementRequest,
  Throttle,
  WorkerProfile,
} from './Placement.ts';
import type {Run} from './RunHistory.ts';
import type {WorkerLoad} from './WorkerLedger.ts';
import type {RunningAttempt} from './WorkerScore.ts';

import {AgedTaskClaim} from './AgedTaskClaim.ts';
import {CapacityClaims} from './CapacityClaims.ts';
import {EntryKnowledge} from './EntryKnowledge.ts';
import {EvictionPlanner} from './EvictionPlanner.ts';
import {FleetCapacity} from './FleetCapacity.ts';
import {LatencyCriticalDemand} from './LatencyCriticalDemand.ts';
import {BATCH_AGEING_MS, CANDIDATE_LIMIT, SCAN_LIMIT} from './LearnedConstants.ts';
import {Quarantine} from './Quarantine.ts';
import {RackCounts} from './RackCounts.ts';
import {fitsInto, maxResources, subtractResources} from './ResourcesUtils.ts';
import {RunHistory} from './RunHistory.ts';
import {QUOTA_DECISIONS, TeamQuotas} from './TeamQuotas.ts';
import {ThrottleController} from './ThrottleController.ts';
import {WorkerIndex} from './WorkerIndex.ts';
import {WorkerLedger} from './WorkerLedger.ts';
import {scoreWorker} from './WorkerScore.ts';

/** Whether an outcome counts as a failure of the worker; undefined outcomes are not counted. */
const WORKER_FAILURE_BY_OUTCOME: Record<AttemptOutcome, boolean | undefined> = {
  evicted: undefined,
  failed: true,
  lost: true,
  refused: undefined,
  succeeded: false,
};

/** Places tasks by learned sizes, run times and interference. */
export class LearnedPlacement implements Placement {
  readonly #agedTaskClaim: AgedTaskClaim;
  readonly #claims = new CapacityClaims();
  readonly #demand = new LatencyCriticalDemand();
  readonly #history = new RunHistory();
  readonly #index = new WorkerIndex();
  readonly #knowledge: EntryKnowledge;
  readonly #peaks = new Map<AttemptId, {cpu: number; memoryMb: number}>();
  readonly #planner: EvictionPlanner;
  readonly #quarantine: Quarantine;
  readonly #quotas = new TeamQuotas();
  readonly #rackCounts = new RackCounts();
  readonly #fleet = new FleetCapacity();
  readonly #throttleController = new ThrottleController();
  /** Reservations as sent to the workers and written to the log; never above the ledger's. */
  readonly #committed = new Map<AttemptId, Resources>();
  readonly #ledger = new WorkerLedger((worker, load) => {
    this.#index.update(worker, load);
    this.#fleet.update(worker, load);
  });

  constructor(knowledge = new EntryKnowledge()) {
    this.#knowledge = knowledge;
    const runTime: RunTimePrediction = (entry, declared) => knowledge.runTimeMs(entry, declared);
    this.#agedTaskClaim = new AgedTaskClaim(this.#ledger, this.#claims, runTime);
    this.#planner = new EvictionPlanner(this.#ledger, this.#claims, runTime);
    this.#quarantine = new Quarantine(knowledge);
  }

  adopt(attempt: PlacedAttempt): void {
    if (!this.#ledger.attempt(attempt.attempt)) {
      this.#ledger.add(attempt);
      this.#committed.set(attempt.attempt, attempt.reserved);
      this.#recordStart(attempt);
    }
  }

  decide(request: PlacementRequest, now: Instant): PlacementDecision {
    this.#claims.removeExpired(now);
    const largest = this.#fleet.largestCapacity();
    if (largest && !fitsInto(request.declared, largest)) {
      return {kind: 'impossible', reason: 'the task is larger than every worker'};
    }
    const reserved = this.#reservation(request);
    const status = this.#quotas.status(request, reserved);
    if (status !== 'within') {
      return QUOTA_DECISIONS[status];
    }
    if (request.class === 'batch' && !this.#leavesHeadroom(request, reserved, now)) {
      return {
        kind: 'wait',
        reason: 'the remaining capacity is kept free for latency-critical tasks',
      };
    }
    const worker = this.#chooseWorker(request, reserved, now);
    if (worker !== undefined) {
      return this.#place(request, reserved, worker, now);
    }
    const isUsable = (load: WorkerLoad): boolean => this.#isUsable(load, request, now);
    if (request.class === 'batch' && now - request.queuedAt >= BATCH_AGEING_MS) {
      this.#agedTaskClaim.claimOrRenew(request, reserved, isUsable, now);
    }
    return this.#planner.plan(request, reserved, isUsable, now);
  }

  evictions(now: Instant): readonly AttemptId[] {
    return this.#planner.takeEvictions(this.#fleet.overcommitted(), now);
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
    this.#recordEnd(attempt, now);
    this.#planner.recordEnd(id, now);
    const failed = WORKER_FAILURE_BY_OUTCOME[outcome];
    if (failed === undefined) {
      this.#quarantine.dropCanary(attempt.worker, id);
    } else {
      this.#quarantine.recordOutcome(attempt.worker, attempt.entry, failed, now);
    }
    if (outcome === 'succeeded') {
      this.#knowledge.addRunTime(attempt.entry, now - attempt.startedAt);
    }
  }

  removeWorker(worker: WorkerId): void {
    for (const {entry} of this.#history.running(worker)) {
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

  throttles(): readonly Throttle[] {
    return this.#throttleController.throttles();
  }

  #available(load: WorkerLoad, request: PlacementRequest, now: Instant): Resources {
    return subtractResources(
      load.free,
      this.#claims.claimedByOthers(load.profile.id, request, now),
    );
  }

  #chooseWorker(
    request: PlacementRequest,
    reserved: Resources,
    now: Instant,
  ): undefined | WorkerId {
    let best: undefined | {score: number; worker: WorkerId};
    for (const load of this.#fittingWorkers(request, reserved, now)) {
      const score = scoreWorker(
        request,
        reserved,
        load,
        this.#runningAttempts(load),
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

  *#fittingWorkers(
    request: PlacementRequest,
    reserved: Resources,
    now: Instant,
  ): Generator<WorkerLoad> {
    const claimed = this.#claims.claimedWorker(request.attempt, now);
    let found = 0;
    let scanned = 0;
    for (const worker of this.#candidates(claimed, reserved)) {
      scanned += 1;
      const load = this.#ledger.load(worker);
      if (load && this.#isUsable(load, request, now)) {
        if (fitsInto(reserved, this.#available(load, request, now))) {
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
    const previous = this.#peaks.get(attempt.attempt);
    const peak = {
      cpu: Math.max(previous?.cpu ?? 0, cpu),
      memoryMb: Math.max(previous?.memoryMb ?? 0, memoryMb),
    };
    this.#peaks.set(attempt.attempt, peak);
    if (!previous) {
      this.#knowledge.addFirstUsage(attempt.entry, peak.cpu, peak.memoryMb);
    } else if (peak.cpu > previous.cpu || peak.memoryMb > previous.memoryMb) {
      this.#knowledge.addUsageIncrease(attempt.entry, peak.cpu, peak.memoryMb);
    }
    const measured = {accelerators: attempt.declared.accelerators, ...peak};
    // A committed reservation never shrinks while its attempt runs.
    const committed = this.#committed.get(attempt.attempt) ?? attempt.declared;
    const wanted = maxResources(maxResources(this.#reservation(attempt), measured), committed);
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
    const worst = this.#worstAntagonist(attempt.entry, others, now);
    if (worst && this.#throttleController.adjust(worst.attempt, speed, now)) {
      this.#planner.requestEviction(worst.attempt);
    }
  }

  #leavesHeadroom(request: PlacementRequest, reserved: Resources, now: Instant): boolean {
    if (now - request.queuedAt >= BATCH_AGEING_MS) {
      return true;
    }
    return this.#fleet.fitsWithHeadroom(reserved, this.#demand.headroom(now));
  }

  #recordEnd(attempt: PlacedAttempt, now: Instant): void {
    this.#quotas.remove(attempt);
    this.#history.end(attempt.worker, attempt.attempt, now);
    this.#peaks.delete(attempt.attempt);
    this.#committed.delete(attempt.attempt);
    this.#throttleController.forget(attempt.attempt);
    this.#countRack(attempt.entry, attempt.worker, -1);
  }

  #recordStart(attempt: PlacedAttempt): void {
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

  #countRack(entry: EntryId, worker: WorkerId, delta: number): void {
    this.#rackCounts.change(entry, this.#ledger.load(worker)?.profile.rack, delta);
  }

  #place(
    request: PlacementRequest,
    reserved: Resources,
    worker: WorkerId,
    now: Instant,
  ): PlacementDecision {
    const placed = {...request, reserved, startedAt: now, worker};
    this.#ledger.reserve(placed);
    this.#recordStart(placed);
    this.#claims.remove(request.attempt);
    if (this.#quarantine.trust(worker, now) === 'canary') {
      this.#quarantine.startCanary(worker, request.attempt);
    }
    if (request.class === 'latency-critical') {
      this.#demand.add(reserved, now);
    }
    // The safety margin of an entry with few reports exists only in the ledger and may shrink later.
    const committed = this.#knowledge.expectedSize(request.entry, request.declared);
    this.#committed.set(request.attempt, committed);
    return {kind: 'placed', reserved: committed, worker};
  }

  #reservation(request: PlacementRequest): Resources {
    const largest = this.#fleet.largestCapacity() ?? request.declared;
    return this.#knowledge.reservation(request.entry, request.declared, largest);
  }

  #runningAttempts(load: WorkerLoad): RunningAttempt[] {
    return [...this.#history.running(load.profile.id)].map((run) => ({
      class: this.#ledger.attempt(run.attempt)?.class ?? 'batch',
      entry: run.entry,
      share: run.cpuShare,
    }));
  }

  #isUsable({profile}: WorkerLoad, request: PlacementRequest, now: Instant): boolean {
    const trust = profile.drained ? 'none' : this.#quarantine.trust(profile.id, now);
    // Only batch tasks serve as canaries, since they can wait; latency-critical tasks never do.
    return trust === 'open' || (trust === 'canary' && request.class === 'batch');
  }

  *#candidates(claimed: undefined | WorkerId, amount: Resources): Generator<WorkerId> {
    if (claimed !== undefined) {
      yield claimed;
    }
    yield* this.#index.candidates(amount);
  }

  #worstAntagonist(entry: EntryId, others: readonly Run[], now: Instant): Run | undefined {
    let worst: undefined | {slowdown: number; run: Run};
    for (const run of others) {
      const isBatch = this.#ledger.attempt(run.attempt)?.class === 'batch';
      const slowdown = this.#knowledge.interference.predict(
        entry,
        {entry: run.entry, share: run.cpuShare},
        now,
      );
      if (isBatch && (!worst || slowdown.mean > worst.slowdown)) {
        worst = {run, slowdown: slowdown.mean};
      }
    }
    return worst?.run;
  }
}
