import type {EventFields} from '@nutmegproxy/core';
import type {Run, StepState} from '@nutmegproxy/jobs';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionState} from '../../MinionState.ts';

import {PendingTaskLog} from '../../PendingTaskLog.ts';
import {SCHEDULING_EVENTS} from '../../SchedulingEvents.ts';
import {
  at,
  NO_SHARING_COSTS,
  queue,
  RecordedEvents,
  SampleFleet,
  shape,
  wallAt,
} from './Samples.ts';

/** Time in milliseconds for which each owner acts, and for which its recovery waits. */
const TERM_MS = 7_500;
const RECOVERY_MS = 4_000;
const ROUND_MS = 100;

/** The fleet as one owner knows it. */
class Term {
  readonly lastAttempt: StepState;
  readonly minion: MinionState;
  readonly plain: StepState;
  readonly sample: SampleFleet;
  readonly unknownResult: StepState;
  readonly #events = new RecordedEvents();
  readonly #log = new PendingTaskLog();

  /** Knows the failures that the former owner stored; only the minion knows the missing result. */
  constructor(former?: Term) {
    this.sample = new SampleFleet(0, [queue('proofs')], this.#events);
    this.minion = this.sample.addMinion('m1');
    const [plain, lastAttempt, unknownResult] = [0, 1, 2].map(
      () => this.sample.addJob('proofs', [shape()]).occurrence(0)?.[0],
    );
    assert.ok(plain && lastAttempt && unknownResult);
    this.plain = plain;
    this.lastAttempt = lastAttempt;
    this.unknownResult = unknownResult;
    const failures = former?.lastAttempt.exportProgress()?.failures[0];
    for (const step of [lastAttempt, unknownResult]) {
      step.failures.set(0, [...(failures ?? [1 as Run['number']])]);
    }
    this.sample.fleet.recordUnknownResult(unknownResult, 0, 2 as Run['number'], this.minion);
    this.sample.fleet.recoveryRevision = Infinity;
  }

  /** Plans every 100 ms for the term; returns the lines about pending tasks. */
  play(): EventFields[] {
    const {fleet} = this.sample;
    for (let nowMs = 0; nowMs < TERM_MS; nowMs += ROUND_MS) {
      if (nowMs >= RECOVERY_MS) {
        fleet.recoveryRevision = 0;
      }
      // The minion keeps failing what others start.
      this.minion.trust.recordFailure(this.plain.job.id, at(nowMs));
      this.sample.plan(nowMs);
      for (const run of this.minion.runs) {
        run.phase = 'running';
        run.knownFrom = 'listing';
      }
      this.#log.review({
        advice: {isPermitted: () => undefined},
        fleet,
        hold: undefined,
        isBudgetUsedUp: false,
        isCut: false,
        now: at(nowMs),
        recoveryMs: Math.max(0, RECOVERY_MS - nowMs),
        sharingCosts: NO_SHARING_COSTS,
        wall: wallAt(nowMs),
      });
    }
    return this.#events.events
      .filter(({kind}) => kind === SCHEDULING_EVENTS.TASKS_PENDING)
      .map(({fields}) => fields);
  }
}

function playSecond(former: Term): {lines: EventFields[]; term: Term} {
  const term = new Term(former);
  return {lines: term.play(), term};
}

describe('The line about pending tasks, over two takeovers', () => {
  const first = new Term();
  const terms = {first: {lines: first.play(), term: first}, second: playSecond(first)};
  for (const [owner, {lines, term}] of Object.entries(terms)) {
    describe(`under the ${owner} owner`, () => {
      const during = lines.filter(({pendingRecovery}) => Number(pendingRecovery) > 0);
      const after = lines.filter(({pendingRecovery}) => pendingRecovery === 0);

      it('names the recovery alone while that withholds all tasks', () => {
        assert.deepEqual(
          during.map(({pending, pendingRecovery}) => [pending, pendingRecovery]),
          [[3, 3]],
        );
        assert.match(String(during[0]?.named), /\/recovery\/3000\/until=1000/);
      });

      it('names each task that a rule of its own withholds after that, and no other', () => {
        assert.ok(after.length > 0);
        for (const {named, pending, pendingLastAttempt, pendingUnknownResult} of after) {
          assert.deepEqual([pending, pendingLastAttempt, pendingUnknownResult], [2, 1, 1]);
          const {job: saved} = term.lastAttempt;
          const {job: unknown} = term.unknownResult;
          assert.match(
            String(named),
            new RegExp(`${saved.id}\\.0\\.0\\.0/last-attempt/\\d+/until=`),
          );
          assert.match(
            String(named),
            new RegExp(`${unknown.id}\\.0\\.0\\.0/unknown-result/\\d+/on=m1`),
          );
        }
      });

      it('shows that the saved attempt counts its time anew', () => {
        const until = /last-attempt\/\d+\/until=(\d+)/.exec(String(after[0]?.named))?.[1];
        assert.ok(Number(until) > 7_000);
      });
    });
  }
});
