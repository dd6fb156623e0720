/** Records the crashes of minions under the tasks that may have caused them. */

import type {Instant} from '@nutmegproxy/core';
import type {MachineEvidence, Run, StepState, TaskCrash, TaskTrial} from '@nutmegproxy/jobs';

import {formatTaskName} from '@nutmegproxy/jobs';

import type {ExposedRun, MinionOutage} from './CrashAttribution.ts';
import type {Fleet} from './Fleet.ts';
import type {MinionState} from './MinionState.ts';
import type {RecordedOutage} from './OutageLog.ts';

import {countCleanMinions} from './CleanMinions.ts';
import {
  CRASH_ATTRIBUTIONS,
  FRESH_RUN_MS,
  hasFailedInTime,
  hasTrial,
  isSimultaneous,
  listJobs,
} from './CrashAttribution.ts';
import {findCrashPause} from './CrashPauses.ts';
import {judgeTask, listCrashes} from './CrashVerdict.ts';
import {describeRun, describeRuns} from './RunFields.ts';
import {SCHEDULING_EVENTS} from './SchedulingEvents.ts';

interface StoredTrial {
  readonly index: number;
  readonly step: StepState;
  readonly trial: TaskTrial;
}

function describeOutage(
  minion: MinionState,
  exposed: readonly ExposedRun[],
  now: Instant,
): MinionOutage {
  const until = minion.silentSince ?? now;
  return {
    from: Math.min(minion.lastProofAt, until) as Instant,
    hasTrial: hasTrial(exposed),
    minion: minion.id,
    suspectJobs: listJobs(exposed.filter(({isSuspect}) => isSuspect)),
    until,
  };
}

/** Returns the outages of other minions at the same time: crashes, and minions that are silent. */
function listOtherOutages(fleet: Fleet, outage: MinionOutage, now: Instant): MinionOutage[] {
  const silent = [...fleet.minions.values()]
    .filter(
      ({hasReported, id, silentSince}) =>
        hasReported && id !== outage.minion && silentSince !== undefined,
    )
    .map((minion) => describeOutage(minion, minion.listExposedRuns(fleet.runNumberBase), now))
    .filter((other) => isSimultaneous(other, outage));
  return [...fleet.outages.findSimultaneous(outage), ...silent];
}

/** Weakens what a crash says of runs that were blamed for it. */
function excuseRuns(
  fleet: Fleet,
  excused: readonly Run[],
  evidence: MachineEvidence,
  {minion}: MinionOutage,
): void {
  for (const run of excused) {
    if (run.step.crashes.excuse(run.task.index, run.number, evidence)) {
      fleet.dirtyJobs.add(run.step.job);
      fleet.events.record(SCHEDULING_EVENTS.CRASH_EXCUSED, {
        ...describeRun(run),
        evidence,
        otherMinion: minion,
      });
    }
  }
}

/** Marks what a task was blamed for as coincident, once a machine is known to have failed then. */
function excuseCoincident(fleet: Fleet, outage: MinionOutage): void {
  for (const {blamed} of fleet.outages.findSimultaneous(outage)) {
    const runs = blamed.map(({run}) => run);
    excuseRuns(fleet, runs, 'coincident', outage);
  }
}

/** Returns for how long a run may have been live at most when its minion failed. */
function computeLiveMs(fleet: Fleet, {ageMs, run}: ExposedRun, {until}: MinionOutage): number {
  const isFormer = run.number < fleet.runNumberBase;
  const liveMs = Math.round(until - (run.confirmedAt ?? run.sentAt));
  return Math.max(ageMs, isFormer ? FRESH_RUN_MS : 0, liveMs);
}

function describeCrash(
  fleet: Fleet,
  {description: {address}}: MinionState,
  outage: MinionOutage,
  {exposed, recorded}: Readonly<Record<'exposed' | 'recorded', readonly ExposedRun[]>>,
): RecordedOutage {
  const blamed = recorded.map((each) => ({
    liveMs: computeLiveMs(fleet, each, outage),
    run: each.run,
  }));
  return {
    ...outage,
    address,
    blamed,
    cleanMinions: countCleanMinions(fleet),
    jobs: listJobs(exposed),
  };
}

/** Records the crash of a minion under a run of a task. */
function recordTaskCrash(
  fleet: Fleet,
  step: StepState,
  index: number,
  crash: TaskCrash,
  now: Instant,
  silentSince = now,
): void {
  const {job} = step;
  if (job.isFinal || step.done.has(index) || !step.crashes.record(index, crash, now, silentSince)) {
    return;
  }
  fleet.dirtyJobs.add(job);
  const crashes = listCrashes(step, index);
  const task = formatTaskName({index, job: job.id, occurrence: step.occurrence, step: step.number});
  fleet.events.record(SCHEDULING_EVENTS.TASK_CRASHED_MINION, {
    ageMs: crash.ageMs,
    crashes: step.crashes.of(index).length,
    evidence: crash.evidence,
    job: job.id,
    minion: crash.minion,
    run: crash.run,
    task,
    verdict: judgeTask(step, index),
  });
  const {isDeadly, isRestrained, pauseMs} = findCrashPause(fleet, step, index, now);
  if (isRestrained) {
    fleet.events.record(SCHEDULING_EVENTS.TASK_RESTRAINED, {
      crashes: crashes.length,
      evidence: crashes.map(({evidence}) => evidence).join(' '),
      isDeadly,
      job: job.id,
      minions: crashes.map(({minion}) => minion).join(' '),
      pauseMs,
      task,
    });
  }
}

/**
 * Records the crash of a minion under runs that a former owner suspected. Whether other machines failed
 * with it is not known.
 */
function resolveFormerSuspects(fleet: Fleet, minion: MinionState, now: Instant): void {
  const {formerSuspects, id, silentSince = now} = minion;
  const {address, isDraining} = minion.description;
  minion.formerSuspects = undefined;
  if (
    formerSuspects === undefined ||
    formerSuspects.bornAt === minion.bornAt ||
    isDraining ||
    !hasFailedInTime(formerSuspects, silentSince)
  ) {
    return;
  }
  for (const {index, number, step} of formerSuspects.runs) {
    const evidence = 'unconfirmed' as const;
    const crash = {address, ageMs: 0, evidence, minion: id, run: number};
    recordTaskCrash(fleet, step, index, crash, now);
  }
}

/** Resolves suspects that became known after the minion had responded. */
export function resolveLateSuspects(fleet: Fleet, minion: MinionState, now: Instant): void {
  if (minion.hasReported) {
    resolveFormerSuspects(fleet, minion, now);
  }
}

/** Lists the stored trials on a minion. */
function listTrialsOn(fleet: Fleet, {id}: MinionState): StoredTrial[] {
  const stored: StoredTrial[] = [];
  for (const job of fleet.jobs.tried) {
    for (const step of job.steps()) {
      for (const [index, trial] of step.crashes.trials) {
        if (trial.minion === id) {
          stored.push({index, step, trial});
        }
      }
    }
  }
  return stored;
}

/**
 * Records suspects of a former owner, and trials of one or of a lease that expired meanwhile, on a
 * minion that has crashed since. Whether the start was sent, and what else has failed, is not known.
 */
export function resolveTrials(fleet: Fleet, minion: MinionState, now: Instant): void {
  resolveFormerSuspects(fleet, minion, now);
  const {address, isDraining} = minion.description;
  for (const {index, step, trial} of listTrialsOn(fleet, minion)) {
    const {bornAt, run} = trial;
    if (bornAt === undefined || bornAt === minion.bornAt) {
      continue;
    }
    step.crashes.endTrial(index, run);
    fleet.dirtyJobs.add(step.job);
    if (!isDraining) {
      const evidence = 'unconfirmed' as const;
      recordTaskCrash(
        fleet,
        step,
        index,
        {address, ageMs: 0, evidence, minion: minion.id, run},
        now,
      );
    }
  }
}

/** Ends trials whose minion has reported and does not run them: their starts were never sent. */
export function dropUnsentTrials(fleet: Fleet, minion: MinionState): void {
  for (const {index, step, trial} of listTrialsOn(fleet, minion)) {
    const isLive = step.runsOf(index).some(({number}) => number === trial.run);
    if (!isLive && trial.bornAt === minion.bornAt && step.crashes.endTrial(index, trial.run)) {
      fleet.dirtyJobs.add(step.job);
    }
  }
}

/**
 * Records the crash of a minion, before its runs are removed. Starts without a response are stopped,
 * as they would be sent again under the same number and crash the new incarnation too.
 */
export function recordMinionCrash(fleet: Fleet, minion: MinionState, now: Instant): void {
  const {address, isDraining} = minion.description;
  const exposed = minion.listExposedRuns(fleet.runNumberBase);
  minion.lapsedRuns = [];
  const outage = describeOutage(minion, exposed, now);
  const others = listOtherOutages(fleet, outage, now);
  const {cause, evidence, recorded} = CRASH_ATTRIBUTIONS.byExposure({
    areRunsKnown: minion.hasReported,
    exposed,
    isDraining,
    others,
  });
  fleet.events.record(SCHEDULING_EVENTS.MINION_CRASHED, {
    cause,
    evidence,
    mayBeCutOff: minion.mayBeCutOff,
    minion: minion.id,
    otherOutages: others.map(({minion: id}) => id).join(' '),
    runs: exposed.length,
    silentMs: Math.round(now - outage.until),
    suspects: recorded.length,
  });
  for (const fields of describeRuns(
    minion.id,
    exposed.map(({run}) => run),
  )) {
    fleet.events.record(SCHEDULING_EVENTS.CRASHED_RUNS, fields);
  }
  for (const {run} of cause === 'unknown' ? [] : exposed) {
    run.step.crashes.endTrial(run.task.index, run.number);
  }
  const crash = describeCrash(fleet, minion, outage, {exposed, recorded});
  const explained = new Set(fleet.outages.listExplained(crash));
  for (const {ageMs, run} of recorded) {
    // When a minion that was cut off crashed is not known: its runs may have been over by then.
    const wasLive = run.confirmedAt !== undefined && !minion.mayBeCutOff;
    const isConfirmed = wasLive || evidence === 'coincident';
    const confirmed = isConfirmed ? evidence : 'unconfirmed';
    const {step, task} = run;
    const taskCrash: TaskCrash = {
      address,
      ageMs,
      evidence: explained.has(run) ? 'unstable' : confirmed,
      minion: minion.id,
      run: run.number,
    };
    fleet.crashSuspects.set(taskCrash, recorded.length);
    // A run on a minion that was cut off may have gone on until the crash.
    const silentSince = minion.mayBeCutOff ? now : outage.until;
    recordTaskCrash(fleet, step, task.index, taskCrash, now, silentSince);
  }
  resolveTrials(fleet, minion, now);
  if (cause === 'machine' || cause === 'outage' || cause === 'task') {
    excuseRuns(fleet, fleet.outages.listExplainedBy(crash), 'unstable', outage);
    fleet.outages.add(crash);
  }
  if (cause === 'machine') {
    excuseCoincident(fleet, outage);
  }
  for (const run of minion.runs) {
    const wasSentBefore = minion.silentSince !== undefined && run.sentAt <= minion.silentSince;
    if (run.phase === 'starting' && wasSentBefore) {
      fleet.stopRun(run, 'minion-crashed');
    }
  }
}

/** Records that another minion responds at a minion's address: the minion has crashed or left. */
export function recordReplacement(fleet: Fleet, minion: MinionState, now: Instant): void {
  minion.bornAt = undefined;
  if (minion.hasReported || minion.runs.size > 0) {
    recordMinionCrash(fleet, minion, now);
  } else {
    resolveTrials(fleet, minion, now);
  }
}
