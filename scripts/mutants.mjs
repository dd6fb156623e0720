// Mutation tests: disables one mechanism at a time in a temporary copy and runs the tests that must
// then fail. Prints a table; exits with 1 if a mutant survives. Arguments select the mutants whose
// name contains one of them. Takes several minutes and is not part of CI.
import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const TEST_TIMEOUT_MS = 240_000;
const COPIED = ['package.json', 'packages', 'schema', 'scripts', 'tsconfig.json'];
const SCOPE = '@nutmegproxy';

const MUTANTS = [
  {
    edits: [['this.#permissions.admitsUntrusted = true;', '']],
    file: 'nutmegproxy-scheduling/src/StartPlanner.ts',
    invariant: 'restart in time',
    name: 'interrupted lasting tasks get no work beside the trial of a minion',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/InterruptedTasks.test.ts'],
  },
  {
    edits: [['return now - this.#failedAt >= FIRST_QUARANTINE_MS;', 'return true;']],
    file: 'nutmegproxy-scheduling/src/MinionTrust.ts',
    invariant: 'quarantine',
    name: 'interrupted lasting tasks start on a minion as soon as others have failed there',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/InterruptedTasks.test.ts'],
  },
  {
    edits: [['(isReview && this.#namesWaitingTask(recorded.runs, runs))', 'false']],
    file: 'nutmegproxy-owner/src/DrainingRecords.ts',
    invariant: 'restart in time',
    name: 'a draining record keeps naming runs that are over',
    tests: [
      'nutmegproxy-emulator/src/__tests__/unit/Recovery.test.ts',
      'nutmegproxy-owner/src/__tests__/unit/DrainingRecords.test.ts',
    ],
  },
  {
    edits: [['job.formerMaxAttempts ?? maxAttempts', 'maxAttempts']],
    file: 'nutmegproxy-scheduling/src/Fleet.ts',
    invariant: 'attempts',
    name: 'jobs of a removed queue get the default number of attempts',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/QueueReplacement.test.ts'],
  },
  {
    edits: [
      [
        'this.shape.gang ? gangCheckpoint : this.#checkpoints.get(index)',
        'gangCheckpoint === undefined ? undefined : this.#checkpoints.get(index)',
      ],
    ],
    file: 'nutmegproxy-jobs/src/StepState.ts',
    invariant: 'resume once',
    name: 'the members of a gang resume from their own checkpoints',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/GangCheckpoints.test.ts'],
  },
  {
    edits: [
      [
        "kind === 'unhealthy' && isPoll",
        "kind === 'unhealthy' && isPoll && !this.minion.hasReported",
      ],
    ],
    file: 'nutmegproxy-owner/src/MinionSession.ts',
    invariant: 'progress',
    name: 'a poll that is rejected as unhealthy renews a lease',
    tests: ['nutmegproxy-emulator/src/__tests__/unit/UnhealthyMinions.test.ts'],
  },
  {
    edits: [['!isEntryOutdated && labels', 'labels']],
    file: 'nutmegproxy-scheduling/src/MinionState.ts',
    invariant: 'placement',
    name: 'tasks are placed by the labels of a former incarnation',
    tests: ['nutmegproxy-emulator/src/__tests__/unit/ChangedMinions.test.ts'],
  },
  {
    edits: [['hasLostEntry || ', '']],
    file: 'nutmegproxy-owner/src/MachineReview.ts',
    invariant: 'progress',
    name: 'a list of machines waits for its pause although an entry was removed',
    tests: ['nutmegproxy-owner/src/__tests__/unit/MachineReview.test.ts'],
  },
  {
    edits: [['minion.mayOmitResults && !run.step.shape.longRunning', 'false']],
    file: 'nutmegproxy-scheduling/src/ListingReconciler.ts',
    invariant: 'at most once',
    name: 'a full list of results takes each run that it does not name for lost',
    tests: ['nutmegproxy-emulator/src/__tests__/unit/OmittedResults.test.ts'],
  },
  {
    edits: [['minion.mayOmitResults && !run.step.shape.longRunning', 'false']],
    file: 'nutmegproxy-scheduling/src/ListingReconciler.ts',
    invariant: 'attempts',
    name: 'a full list of results takes a failed run that it does not name for lost',
    tests: ['nutmegproxy-emulator/src/__tests__/unit/OmittedFailures.test.ts'],
  },
  {
    edits: [['if (!listing.mayOmitResults) {', 'if (listing.ended.length >= 0) {']],
    file: 'nutmegproxy-owner/src/MinionSession.ts',
    invariant: 'at most once',
    name: 'an owner takes the runs of a minion for known after a full list of results',
    tests: ['nutmegproxy-emulator/src/__tests__/unit/OmittedResults.test.ts'],
  },
  {
    edits: [
      ['return !others.some((run) => isTrialRun(minion, run));', 'return others.length === 0;'],
    ],
    file: 'nutmegproxy-scheduling/src/MinionAvailability.ts',
    fileAlso: 'nutmegproxy-scheduling/src/MinionAvailability.ts',
    editsAlso: [["'trial' && hasTrialRun(minion)", "'trial' && minion.runs.size > 0"]],
    invariant: 'progress',
    name: 'a minion on trial gets no work beside a run from before its quarantine',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/ExclusionsEnd.test.ts'],
  },
  {
    edits: [['now - (run.confirmedAt ?? now) >= TRIAL_RUN_MS', 'false']],
    file: 'nutmegproxy-scheduling/src/RunProgressMonitor.ts',
    invariant: 'progress',
    name: 'only a run that is done passes a trial',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/ExclusionsEnd.test.ts'],
  },
  {
    edits: [['!run.step.shape.gang || run.step !== step', 'true']],
    file: 'nutmegproxy-scheduling/src/MinionAvailability.ts',
    invariant: 'progress',
    name: 'a member of a gang closes a minion on trial to the other members',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/MinionTrials.test.ts'],
  },
  {
    edits: [['step.avoid(task.index, run.minion, now, FAILED_TRIAL_AVOIDANCE_MS);', '']],
    file: 'nutmegproxy-scheduling/src/MinionQuarantine.ts',
    invariant: 'progress',
    name: 'a lasting task that fails a trial gets the next one too',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/MinionTrials.test.ts'],
  },
  {
    edits: [['this.admitsFailedTrials || !step.hasFailedTrial', 'true']],
    file: 'nutmegproxy-scheduling/src/StartPermissions.ts',
    invariant: 'progress',
    name: 'lasting jobs that fail in each trial come first in the next one',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/MinionTrials.test.ts'],
  },
  {
    edits: [['const AVOIDANCE_MS = 4_000;', 'const AVOIDANCE_MS = Infinity;']],
    file: 'nutmegproxy-jobs/src/StepState.ts',
    invariant: 'progress',
    name: 'a task avoids for ever a minion on which it has failed',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/ExclusionsEnd.test.ts'],
  },
  {
    edits: [['!isBetterMinion && now - waitsSince < MAX_WAIT_MS', '!isBetterMinion']],
    file: 'nutmegproxy-scheduling/src/LastAttempt.ts',
    invariant: 'progress',
    name: 'a last attempt waits for a trusted minion without an end',
    tests: ['nutmegproxy-scheduling/src/__tests__/unit/LastAttempt.test.ts'],
  },
  {
    edits: [['lists < MACHINE_LISTS', 'lists < 1']],
    file: 'nutmegproxy-owner/src/MachineReview.ts',
    invariant: 'one place',
    name: 'one list of machines suffices to take a minion for gone',
    tests: ['nutmegproxy-emulator/src/__tests__/unit/GoneMinions.test.ts'],
  },
  {
    edits: [['? occupants.get(machine) !== undefined', '? true']],
    file: 'nutmegproxy-owner/src/MachineReview.ts',
    invariant: 'one place',
    name: 'a machine that is listed without a minion takes its minion for gone',
    tests: ['nutmegproxy-emulator/src/__tests__/unit/GoneMinions.test.ts'],
  },
  {
    edits: [
      ['if (slots === undefined || computeIdleSlots(slots) < 1) {', 'if (slots === undefined) {'],
    ],
    file: 'nutmegproxy-requests/src/SlotLedger.ts',
    invariant: 'capacity',
    name: 'a slot is granted although none is idle',
    tests: ['nutmegproxy-requests/src/__tests__/unit/SlotLedger.test.ts'],
  },
  {
    edits: [['    slots.lent += lent;\n', '']],
    file: 'nutmegproxy-requests/src/SlotLedger.ts',
    invariant: 'capacity',
    name: 'the lender does not deduct what it lends',
    tests: ['nutmegproxy-requests/src/__tests__/unit/SlotLedger.test.ts'],
  },
  {
    edits: [
      [
        'const wanted = maxResources(maxResources(this.#reservation(attempt), measured), committed);',
        'const wanted = maxResources(this.#reservation(attempt), measured);',
      ],
      [
        'const committed = this.#knowledge.expectedSize(request.entry, request.declared);',
        'const committed = reserved;',
      ],
    ],
    file: 'nutmegproxy-placement/src/LearnedPlacement.ts',
    invariant: 'capacity',
    name: 'the reservation committed to a worker shrinks while the attempt runs',
    tests: ['nutmegproxy-placement/src/__tests__/unit/LearnedPlacement.test.ts'],
  },
  {
    edits: [['fitsInto(attempt.reserved, state.free)', 'true']],
    file: 'nutmegproxy-placement/src/WorkerLedger.ts',
    fileAlso: 'nutmegproxy-placement/src/FirstFit.ts',
    editsAlso: [['!profile.drained && fitsInto(request.declared, free)', '!profile.drained']],
    invariant: 'capacity',
    name: 'a task is placed where it does not fit',
    tests: ['nutmegproxy-placement/src/__tests__/unit/PlacementProperties.test.ts'],
  },
  {
    edits: [
      ['return !this.#stopped && this.#membership.holdsTenure(now);', 'return !this.#stopped;'],
    ],
    file: 'nutmegproxy-tasks/src/Cell.ts',
    invariant: 'one place',
    name: 'a start is sent without holding the tenure',
    tests: ['nutmegproxy-tasks/src/__tests__/unit/Tasks.test.ts'],
  },
  {
    edits: [
      [
        "      kind: 'modRevision',\n      modRevision: this.#ownerRevision,",
        "      kind: 'modRevision',\n      modRevision: 0,",
      ],
      ['      key: this.#keys.owner,', "      key: '/no-such-key',"],
    ],
    file: 'nutmegproxy-tasks/src/CellLog.ts',
    invariant: 'one place',
    name: 'the log is written without the owner key as a condition',
    tests: ['nutmegproxy-tasks/src/__tests__/unit/CellLog.test.ts'],
  },
  {
    edits: [['if (mayStillCount || this.#deniedMembers', 'if (this.#deniedMembers']],
    file: 'nutmegproxy-membership/src/VouchRegistry.ts',
    invariant: 'one place',
    name: 'a member denies a member that it has just vouched for',
    tests: ['nutmegproxy-membership/src/__tests__/unit/VouchRegistry.test.ts'],
  },
  {
    edits: [
      [
        'possibleVouchers.length < getMajoritySize(electors.length)',
        'possibleVouchers.length <= electors.length',
      ],
    ],
    file: 'nutmegproxy-membership/src/MemberRemoval.ts',
    invariant: 'one place',
    name: 'a member is removed without the denials of its electors',
    tests: [
      'nutmegproxy-membership/src/__tests__/unit/Membership.test.ts',
      'nutmegproxy-membership/src/__tests__/unit/Tenure.test.ts',
    ],
  },
  {
    edits: [
      [
        'return leaseExpired && startExpired ? requeueAttempt',
        'return startExpired ? requeueAttempt',
      ],
    ],
    file: 'nutmegproxy-tasks/src/WorkerReports.ts',
    invariant: 'resume once',
    name: 'an unreported attempt is requeued before its lease has expired',
    tests: ['nutmegproxy-tasks/src/__tests__/unit/WorkerReports.test.ts'],
  },
  {
    edits: [
      [
        "  running: (task, report) =>\n    task.state === 'starting'",
        "  running: (task, report, _entry, wall) =>\n    task.state === 'evicting'\n      ? requeueAttempt(task, wall, 'evicted', report.checkpoint)\n      : task.state === 'starting'",
      ],
    ],
    file: 'nutmegproxy-tasks/src/WorkerReports.ts',
    invariant: 'resume once',
    name: 'an evicted attempt is requeued before its stop is confirmed',
    tests: ['nutmegproxy-tasks/src/__tests__/unit/Tasks.test.ts'],
  },
  {
    edits: [
      ['  writer.end();\n', ''],
      [
        "    return {hasStarted: writer.hasStarted, kind: 'broken', message: String(error)};",
        "    writer.end();\n    return {kind: 'whole'};",
      ],
    ],
    file: 'nutmegproxy-requests/src/ResponseRelay.ts',
    invariant: 'whole answer',
    name: 'a truncated response is completed as if it were whole',
    tests: ['nutmegproxy-requests/src/__tests__/unit/Requests.test.ts'],
  },
  {
    edits: [
      [
        'const wasSent = this.#socket.bytesWritten > bytesWrittenBefore;\n      return err({message: String(error), wasSent});',
        'return err({message: String(error), wasSent: false});',
      ],
    ],
    file: 'nutmegproxy-requests/src/MinionConnection.ts',
    invariant: 'not run',
    name: 'a request that was sent is reported as not run',
    tests: ['nutmegproxy-requests/src/__tests__/unit/Requests.test.ts'],
  },
  {
    edits: [
      ["const isSafe = result.outcome === 'not-run' || isIdempotent;", 'const isSafe = true;'],
    ],
    file: 'nutmegproxy-requests/src/RequestDispatcher.ts',
    invariant: 'at most once',
    name: 'a request that is not idempotent is sent again',
    tests: ['nutmegproxy-requests/src/__tests__/unit/Requests.test.ts'],
  },
  {
    edits: [["    compare: [{key, kind: 'modRevision', modRevision: 0}],", '    compare: [],']],
    file: 'nutmegproxy-requests/src/RequestKeys.ts',
    invariant: 'at most once',
    name: 'an idempotency key is claimed although it exists',
    tests: ['nutmegproxy-requests/src/__tests__/unit/RequestKeys.test.ts'],
  },
  {
    edits: [['return this.#marks.has(markKey(mark));', 'return false;']],
    file: 'nutmegproxy-workers/src/LeavingVms.ts',
    invariant: 'leaving',
    name: 'a stale VM list sets a leaving VM back to live',
    tests: ['nutmegproxy-workers/src/__tests__/unit/VmDirectory.test.ts'],
  },
  {
    edits: [
      ['while (this.#inProgressCount > 0) {', 'while (this.#inProgressCount < 0) {'],
      ['this.#server.closeIdleConnections();', 'this.#server.closeAllConnections();'],
    ],
    file: 'nutmegproxy-requests/src/CallerListener.ts',
    invariant: 'planned stop',
    name: 'a planned stop does not wait for requests in progress',
    tests: ['nutmegproxy-requests/src/__tests__/unit/PlannedStop.test.ts'],
  },
  {
    edits: [
      ['if (!isHigher || !isApplicable) {', 'if (!isApplicable) {'],
      [
        "    invariant(next.revision > revision, 'catalogue: a revision that is not higher was applied');\n",
        '',
      ],
    ],
    file: 'nutmegproxy-catalogue/src/CatalogueState.ts',
    invariant: 'catalogue',
    name: 'a lower revision is applied',
    tests: ['nutmegproxy-catalogue/src/__tests__/unit/CatalogueState.test.ts'],
  },
  {
    edits: [
      [
        "compare: [{key: keys.head, kind: 'modRevision', modRevision: headModRevision}],",
        'compare: [],',
      ],
    ],
    file: 'nutmegproxy-catalogue/src/CatalogueRepository.ts',
    invariant: 'catalogue',
    name: 'two concurrent catalogue changes are both accepted',
    tests: ['nutmegproxy-catalogue/src/__tests__/unit/CatalogueFeature.test.ts'],
  },
];

/** Copies the sources so that imports of the package scope resolve to the copy. */
function makeCopy() {
  const copy = mkdtempSync(join(tmpdir(), 'nutmegproxy-mutants-'));
  for (const name of COPIED) {
    cpSync(name, join(copy, name), {recursive: true});
  }
  mkdirSync(join(copy, 'node_modules', SCOPE), {recursive: true});
  for (const name of readdirSync('node_modules').filter((each) => each !== SCOPE)) {
    symlinkSync(resolve('node_modules', name), join(copy, 'node_modules', name));
  }
  for (const folder of readdirSync('packages')) {
    const part = folder.replace('nutmegproxy-', '');
    symlinkSync(join(copy, 'packages', folder), join(copy, 'node_modules', SCOPE, part));
  }
  return copy;
}

function applyEdits(path, edits) {
  const original = readFileSync(path, 'utf8');
  let text = original;
  for (const [from, to] of edits) {
    if (text.split(from).length !== 2) {
      throw new Error(
        `${path}: expected the text to replace once, found it ${text.split(from).length - 1} times: ${from}`,
      );
    }
    text = text.replace(from, () => to);
  }
  writeFileSync(path, text);
  return () => writeFileSync(path, original);
}

function runTests(copy, tests) {
  const files = tests.map((test) => join('packages', test));
  const options = ['--import', 'tsx', '--test', `--test-timeout=${TEST_TIMEOUT_MS}`];
  return spawnSync(process.execPath, [...options, ...files], {cwd: copy, stdio: 'ignore'}).status;
}

function tryMutant(copy, {edits, editsAlso, file, fileAlso, invariant, name, tests}) {
  const undo = [applyEdits(join(copy, 'packages', file), edits)];
  if (fileAlso !== undefined) {
    undo.push(applyEdits(join(copy, 'packages', fileAlso), editsAlso));
  }
  const verdict = runTests(copy, tests) === 0 ? 'SURVIVED' : 'red';
  undo.forEach((restore) => {
    restore();
  });
  console.log(`| ${invariant} | ${name} | ${verdict} |`);
  return verdict === 'red';
}

const wanted = process.argv.slice(2);
const chosen = MUTANTS.filter(
  ({name}) => wanted.length === 0 || wanted.some((part) => name.includes(part)),
);
const copy = makeCopy();
const unmutated = [...new Set(chosen.flatMap(({tests}) => tests))];
if (runTests(copy, unmutated) !== 0) {
  console.error('the tests fail without mutations');
  rmSync(copy, {recursive: true});
  process.exit(2);
}
console.log('| invariant | disabled mechanism | tests |\n| --- | --- | --- |');
const caught = chosen.filter((mutant) => tryMutant(copy, mutant)).length;
rmSync(copy, {recursive: true});
console.log(`${caught} of ${chosen.length} mutants caught`);
process.exit(caught === chosen.length ? 0 : 1);
