import fc from 'fast-check';
import {deepEqual, equal, ok} from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {AttemptRun, CallerRequest, History, InvariantName, MinionRun} from '../../index.ts';

import {checkHistory, CHECKS, EMPTY_HISTORY} from '../../index.ts';

const SEED = 20_261_203;
const ONE_CORE = {accelerators: 0, cpu: 1, memoryMb: 100};
const WORKER = {capacity: {accelerators: 0, cpu: 2, memoryMb: 1000}, worker: 'w1'};

function attempt(name: string, startedAt: number, endedAt: number, rest = {}): AttemptRun {
  return {
    attempt: name,
    endedAt,
    endState: 'succeeded',
    needed: ONE_CORE,
    reserved: ONE_CORE,
    resumedFromMs: 0,
    startedAt,
    task: name,
    worker: 'w1',
    ...rest,
  };
}

function request(name: string, rest: Partial<CallerRequest> = {}): CallerRequest {
  return {
    answer: name,
    endedAt: 20,
    expectedAnswer: name,
    idempotent: false,
    outcome: 'answered',
    request: name,
    startedAt: 10,
    vm: 'e1',
    ...rest,
  };
}

function run(name: string, rest: Partial<MinionRun> = {}): MinionRun {
  return {endedAt: 20, minion: 'm1', request: name, startedAt: 10, ...rest};
}

interface Example {
  readonly accept: Partial<History>;
  readonly reject: Partial<History>;
}

const MINIONS = [{minion: 'm1', slots: 1}];
const CHECKPOINTED = {doneMs: 7, endState: 'checkpointed', task: 't'} as const;
const ACCEPTED = [{at: 0, digest: 'b', revision: 2}];

const JOB = {at: 0, ended: true, job: 'j', key: 'k'};
const DEPARTURES = [{at: 0, minion: 'm1'}];
const STOPS = [{endedAt: 30, startedAt: 15, vm: 'e1'}];
const CUT = request('r', {outcome: 'cut'});
const LATE_RUN = [run('r', {endedAt: 9_010, startedAt: 9_000})];

const EXAMPLES: Record<string, Example & {readonly invariant: InvariantName}> = {
  'a caller gets no response': {
    accept: {
      absences: [{from: 0, until: 15, vm: 'e1'}],
      requests: [request('r', {outcome: 'pending'})],
    },
    invariant: 'final-answer',
    reject: {
      absences: [{from: 0, until: 15, vm: 'e2'}],
      requests: [request('r', {outcome: 'pending'})],
    },
  },
  'a change is not in the history': {
    accept: {
      accepted: [{at: 0, change: 'c', revision: 2}],
      listedChanges: [{change: 'c', revision: 2}],
    },
    invariant: 'accepted-change',
    reject: {
      accepted: [{at: 0, change: 'd', revision: 2}],
      listedChanges: [{change: 'c', revision: 2}],
    },
  },
  'a job never ends': {
    accept: {jobs: [JOB]},
    invariant: 'accepted-job',
    reject: {jobs: [{...JOB, ended: false}]},
  },
  'a key creates two jobs': {
    accept: {jobs: [JOB, JOB, {...JOB, job: 'l', key: 'm'}]},
    invariant: 'accepted-job',
    reject: {jobs: [JOB, {...JOB, job: 'l'}]},
  },
  'a key is used for two requests': {
    accept: {minionRuns: [run('r', {idempotencyKey: 'k'})], requests: [request('s')]},
    invariant: 'at-most-once',
    reject: {
      minionRuns: [run('r', {idempotencyKey: 'k'}), run('s', {idempotencyKey: 'k'})],
    },
  },
  'a minion has one slot': {
    accept: {minionRuns: [run('r'), run('s', {startedAt: 20})], minions: MINIONS},
    invariant: 'capacity',
    reject: {minionRuns: [run('r'), run('s', {startedAt: 19})], minions: MINIONS},
  },
  'a minion leaves': {
    accept: {departures: [{at: 0, minion: 'm1'}], minionRuns: [run('r', {startedAt: 4000})]},
    invariant: 'leaving',
    reject: {departures: [{at: 0, minion: 'm1'}], minionRuns: [run('r', {startedAt: 5001})]},
  },
  'a minion leaves while a VM cannot read the VM list': {
    accept: {
      blindTimes: [{from: 0, until: 6_000, vm: 'e1'}],
      departures: DEPARTURES,
      minionRuns: LATE_RUN,
      requests: [request('r')],
    },
    invariant: 'leaving',
    reject: {
      blindTimes: [{from: 0, until: 6_000, vm: 'e2'}],
      departures: DEPARTURES,
      minionRuns: LATE_RUN,
      requests: [request('r')],
    },
  },
  'a minion truncates a response during a stop': {
    accept: {minionRuns: [run('r', {struck: true})], requests: [CUT], stops: STOPS},
    invariant: 'planned-stop',
    reject: {minionRuns: [run('r')], requests: [CUT], stops: STOPS},
  },
  'a request is reported as not run': {
    accept: {requests: [request('r', {outcome: 'not-run'})]},
    invariant: 'not-run',
    reject: {minionRuns: [run('r')], requests: [request('r', {outcome: 'not-run'})]},
  },
  'a response arrives': {
    accept: {requests: [request('r'), request('s', {answer: 'x', outcome: 'cut'})]},
    invariant: 'whole-answer',
    reject: {requests: [request('r', {answer: 'other'})]},
  },
  'a stop is planned': {
    accept: {
      requests: [request('r'), request('s', {outcome: 'cut', vm: 'e2'})],
      stops: [{startedAt: 15, vm: 'e1'}],
    },
    invariant: 'planned-stop',
    reject: {requests: [request('r', {outcome: 'cut'})], stops: [{startedAt: 15, vm: 'e1'}]},
  },
  'a task is evicted': {
    accept: {
      attempts: [
        attempt('a', 0, 10, CHECKPOINTED),
        attempt('b', 10, 20, {endState: 'lapsed', resumedFromMs: 7, task: 't'}),
        attempt('c', 20, 30, {resumedFromMs: 7, task: 't'}),
      ],
    },
    invariant: 'resume-once',
    reject: {
      attempts: [
        attempt('a', 0, 10, CHECKPOINTED),
        attempt('b', 10, 20, {resumedFromMs: 7, task: 't'}),
        attempt('c', 20, 30, {resumedFromMs: 7, task: 't'}),
      ],
    },
  },
  'a task is evicted and cancelled': {
    accept: {attempts: [attempt('a', 0, 10, CHECKPOINTED)], cancelledTasks: ['t']},
    invariant: 'resume-once',
    reject: {attempts: [attempt('a', 0, 10, CHECKPOINTED)]},
  },
  'a task is evicted and restarts from the beginning': {
    accept: {attempts: [attempt('a', 0, 10, CHECKPOINTED)], settled: false},
    invariant: 'resume-once',
    reject: {attempts: [attempt('a', 0, 10, CHECKPOINTED), attempt('b', 10, 20, {task: 't'})]},
  },
  'a task is tried twice': {
    accept: {
      attempts: [
        attempt('a', 0, 10, {endState: 'lapsed', task: 't'}),
        attempt('b', 10, 20, {task: 't', worker: 'w2'}),
      ],
    },
    invariant: 'one-place',
    reject: {
      attempts: [
        attempt('a', 0, 10, {endState: 'lapsed', task: 't'}),
        attempt('b', 9, 20, {task: 't', worker: 'w2'}),
      ],
    },
  },
  'a VM is partitioned while a change is accepted': {
    accept: {
      absences: [{from: 5, until: 60_000, vm: 'e1'}],
      accepted: ACCEPTED,
      seen: [{at: 61_000, digest: 'a', process: 'p1', revision: 1, vm: 'e1'}],
    },
    invariant: 'catalogue',
    reject: {
      absences: [{from: 5, until: 60_000, vm: 'e1'}],
      accepted: ACCEPTED,
      seen: [{at: 69_001, digest: 'a', process: 'p1', revision: 1, vm: 'e1'}],
    },
  },
  'a VM is paused before a stop': {
    accept: {absences: [{from: 5, until: 12, vm: 'e1'}], requests: [CUT], stops: STOPS},
    invariant: 'planned-stop',
    reject: {absences: [{from: 5, until: 9, vm: 'e1'}], requests: [CUT], stops: STOPS},
  },
  'a VM is restarted': {
    accept: {
      seen: [
        {at: 0, digest: 'b', process: 'p1', revision: 2, vm: 'e1'},
        {at: 1, digest: '', process: 'p2', revision: 0, vm: 'e1'},
        {at: 2, digest: 'b', process: 'p2', revision: 2, vm: 'e1'},
      ],
    },
    invariant: 'catalogue',
    reject: {
      seen: [
        {at: 0, digest: 'b', process: 'p1', revision: 2, vm: 'e1'},
        {at: 1, digest: '', process: 'p2', revision: 0, vm: 'e1'},
        {at: 2, digest: 'a', process: 'p2', revision: 1, vm: 'e1'},
      ],
    },
  },
  'a VM is restarted long after a change': {
    accept: {
      absences: [{from: 20_000, until: 21_000, vm: 'e1'}],
      accepted: ACCEPTED,
      seen: [{at: 22_000, digest: 'a', process: '2', revision: 0, vm: 'e1'}],
    },
    invariant: 'catalogue',
    reject: {
      absences: [{from: 20_000, until: 21_000, vm: 'e1'}],
      accepted: ACCEPTED,
      seen: [{at: 31_000, digest: 'a', process: '2', revision: 0, vm: 'e1'}],
    },
  },
  'a VM loses its catalogue': {
    accept: {seen: [{at: 0, digest: '', process: 'p1', revision: 0, vm: 'e1'}]},
    invariant: 'catalogue',
    reject: {
      seen: [
        {at: 0, digest: 'b', process: 'p1', revision: 2, vm: 'e1'},
        {at: 1, digest: '', process: 'p1', revision: 0, vm: 'e1'},
      ],
    },
  },
  'a VM shows revisions': {
    accept: {
      seen: [
        {at: 0, digest: 'a', process: 'p1', revision: 1, vm: 'e1'},
        {at: 1, digest: 'b', process: 'p1', revision: 2, vm: 'e1'},
      ],
    },
    invariant: 'catalogue',
    reject: {
      seen: [
        {at: 0, digest: 'b', process: 'p1', revision: 2, vm: 'e1'},
        {at: 1, digest: 'a', process: 'p1', revision: 1, vm: 'e1'},
      ],
    },
  },
  'a worker has two cores': {
    accept: {
      attempts: [attempt('a', 0, 9), attempt('b', 0, 9), attempt('c', 9, 20)],
      workers: [WORKER],
    },
    invariant: 'capacity',
    reject: {
      attempts: [attempt('a', 0, 9), attempt('b', 0, 9), attempt('c', 8, 20)],
      workers: [WORKER],
    },
  },
  'the outcome is reported as unknown': {
    accept: {minionRuns: [run('r')], requests: [request('r', {outcome: 'outcome-unknown'})]},
    invariant: 'at-most-once',
    reject: {
      minionRuns: [run('r'), run('r', {startedAt: 30})],
      requests: [request('r', {outcome: 'outcome-unknown'})],
    },
  },
  'two changes are accepted': {
    accept: {accepted: [...ACCEPTED, {at: 1, digest: 'c', revision: 3}]},
    invariant: 'catalogue',
    reject: {accepted: [...ACCEPTED, {at: 1, digest: 'c', revision: 2}]},
  },
};

describe('CHECKS', () => {
  for (const [name, {accept, invariant, reject}] of Object.entries(EXAMPLES)) {
    describe(`when ${name}`, () => {
      it('accept a history without a violation', () => {
        deepEqual(checkHistory({...EMPTY_HISTORY, ...accept}), []);
      });

      it(`report a violation of ${invariant} only`, () => {
        const violations = checkHistory({...EMPTY_HISTORY, ...reject});
        deepEqual([...new Set(violations.map((each) => each.invariant))], [invariant]);
      });
    });
  }

  it('have an example for each invariant', () => {
    const covered = new Set(Object.values(EXAMPLES).map(({invariant}) => invariant));
    deepEqual([...covered].sort(), Object.keys(CHECKS).sort());
  });

  describe('generated histories', () => {
    // Sequential attempts per lane: each starts after the previous one has ended.
    const lanes = fc.array(
      fc.array(fc.record({gap: fc.nat(5), length: fc.integer({max: 20, min: 1})})),
      {maxLength: 4, minLength: 1},
    );

    function layOut(plan: {gap: number; length: number}[][]): readonly AttemptRun[] {
      return plan.flatMap((lane, laneIndex) => {
        let at = 0;
        return lane.map(({gap, length}, index) => {
          const startedAt = at + gap;
          at = startedAt + length;
          return attempt(`${laneIndex}-${index}`, startedAt, at);
        });
      });
    }

    it('fit when there are as many cores as lanes, but not with one more attempt', () => {
      fc.assert(
        fc.property(lanes, (plan) => {
          const attempts = layOut(plan);
          const capacity = {accelerators: 0, cpu: plan.length, memoryMb: 10_000};
          const history = {...EMPTY_HISTORY, attempts, workers: [{capacity, worker: 'w1'}]};
          equal(checkHistory(history).length, 0);
          const last = Math.max(0, ...attempts.map(({endedAt}) => endedAt ?? 0));
          const extra = Array.from({length: plan.length + 1}, (_, index) =>
            attempt(`x${index}`, last, last + 1),
          );
          const overfull = {...history, attempts: [...attempts, ...extra]};
          deepEqual(
            checkHistory(overfull).map(({invariant}) => invariant),
            ['capacity'],
          );
        }),
        {seed: SEED},
      );
    });

    it('of one task overlap exactly when two of its attempts do', () => {
      const spans = fc.array(fc.record({length: fc.integer({max: 9, min: 1}), start: fc.nat(40)}));
      fc.assert(
        fc.property(spans, (plan) => {
          const attempts = plan.map(({length, start}, index) =>
            attempt(`a${index}`, start, start + length, {endState: 'lapsed', task: 't'}),
          );
          const overlap = plan.some((a, i) =>
            plan.some(
              (b, j) => i < j && a.start < b.start + b.length && b.start < a.start + a.length,
            ),
          );
          const violations = CHECKS['one-place']({...EMPTY_HISTORY, attempts});
          equal(violations.length > 0, overlap);
        }),
        {seed: SEED},
      );
    });

    it('with any run repeated are rejected', () => {
      const names = fc.uniqueArray(fc.string({maxLength: 4, minLength: 1}), {minLength: 1});
      fc.assert(
        fc.property(names, fc.nat(), (ids, pick) => {
          const minionRuns = ids.map((id) => run(id));
          const history = {...EMPTY_HISTORY, minionRuns, requests: ids.map((id) => request(id))};
          equal(checkHistory(history).length, 0);
          const again = run(ids[pick % ids.length] ?? '', {startedAt: 50});
          const repeated = {...history, minionRuns: [...minionRuns, again]};
          ok(checkHistory(repeated).some(({invariant}) => invariant === 'at-most-once'));
        }),
        {seed: SEED},
      );
    });
  });
});
