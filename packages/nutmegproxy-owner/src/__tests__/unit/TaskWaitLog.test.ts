import type {EventFields, Instant} from '@nutmegproxy/core';
import type {RunSource} from '@nutmegproxy/jobs';
import type {WithheldReason} from '@nutmegproxy/scheduling';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import {Fleet, WithheldTaskSummary} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {OWNER_EVENTS} from '../../OwnerEvents.ts';
import {TaskWaitLog} from '../../TaskWaitLog.ts';
import {createMinion, createStep} from './OwnerSamples.ts';

const at = (ms: number): Instant => ms as Instant;
const ACQUIRED_MS = 5_000;
/** Time in milliseconds between two reviews. */
const REVIEW_MS = 500;
/** Some time after the first seconds of the term. */
const LATER_MS = ACQUIRED_MS + 20_000;

function summarize(waitedMs?: number): WithheldTaskSummary {
  const summary = new WithheldTaskSummary();
  if (waitedMs !== undefined) {
    const reason: WithheldReason = 'lease';
    const describe = (): EventFields => ({reason, waitedMs});
    const knownFrom: RunSource = 'record';
    summary.add({describe, isInterrupted: true, knownFrom, reason, waitedMs});
  }
  return summary;
}

describe('TaskWaitLog', () => {
  let fleet: Fleet;
  let lines: EventFields[];
  let log: TaskWaitLog;

  beforeEach(() => {
    lines = [];
    fleet = new Fleet(SILENT_EVENTS);
    log = new TaskWaitLog({
      events: {
        record: (kind, fields) => {
          assert.equal(kind, OWNER_EVENTS.TASKS_WITHHELD);
          lines.push(fields);
        },
      },
      fleet,
      orders: {describe: () => ({call: 'start', callMinion: 'm1', callMs: 320, openCalls: 2})},
      ownership: {requestedAt: at(ACQUIRED_MS), term: 3},
    });
  });

  /** Lets rounds pass that start nothing, each with a review; `waitedMs` as of the last one. */
  function passRounds(fromMs: number, toMs: number, waitedMs?: number): void {
    for (let nowMs = fromMs; nowMs <= toMs; nowMs += REVIEW_MS) {
      log.recordRound({hold: undefined, now: at(nowMs), starts: []});
      const waited = waitedMs === undefined ? undefined : waitedMs - (toMs - nowMs);
      log.review(summarize(waited), at(nowMs));
    }
  }

  describe('its rate', () => {
    it('is a line a second in the first 10 s of a term, although no task waits', () => {
      passRounds(ACQUIRED_MS + 500, LATER_MS);
      assert.equal(lines.length, 10);
      const times = lines.map(({termMs}) => Number(termMs));
      assert.deepEqual([times[0], times.at(-1)], [500, 9_500]);
      assert.ok(
        times.every((each, index) => index === 0 || each - (times[index - 1] ?? 0) >= 1000),
      );
    });

    it('is a line a second later while an interrupted task waits for 1.5 s or more', () => {
      passRounds(LATER_MS, LATER_MS + 5_000, 5_000);
      assert.deepEqual(
        lines.map(({waitedMs}) => waitedMs),
        [2_000, 3_000, 4_000, 5_000],
      );
    });

    it('is no line later while none does', () => {
      passRounds(LATER_MS, LATER_MS + 5_000);
      passRounds(LATER_MS + 6_000, LATER_MS + 7_000, 1_000);
      assert.deepEqual(lines, []);
    });
  });

  describe('a line', () => {
    it('says what the rounds since the last one have done', () => {
      passRounds(ACQUIRED_MS + 500, ACQUIRED_MS + 500);
      const lasting = createStep(1, {longRunning: true});
      const other = createStep(2);
      const minion = createMinion();
      fleet.minions.set(minion.id, minion);
      const starts = [lasting, other].map((step) => fleet.startRun(step, 0, minion, at(0)));
      log.recordRound({hold: undefined, now: at(ACQUIRED_MS + 600), starts});
      log.recordRound({hold: 'backlog', now: at(ACQUIRED_MS + 1_400), starts: []});
      log.recordRound({hold: 'directory', now: at(ACQUIRED_MS + 1_500), starts: []});
      fleet.recoveryRevision = 1;
      log.review(summarize(1_000), at(ACQUIRED_MS + 1_500));
      assert.deepEqual(lines[1], {
        call: 'start',
        callMinion: 'm1',
        callMs: 320,
        heldByBacklog: 1,
        heldByDirectory: 1,
        isRecovering: true,
        lastingStarts: 1,
        openCalls: 2,
        reason: 'lease',
        roundGapMs: 800,
        rounds: 3,
        sinceMs: 1_000,
        starts: 2,
        term: 3,
        termMs: 1_500,
        waitedMs: 1_000,
        waitingFirst: 0,
        waitingLease: 0,
        waitingPlacement: 0,
        waitingRecord: 1,
        waitingRecovery: 0,
        waitingStart: 0,
        waitingStop: 0,
      });
    });

    it('counts no round from before the last second, also when no line was due then', () => {
      passRounds(LATER_MS, LATER_MS + 5_000);
      passRounds(LATER_MS + 5_500, LATER_MS + 6_000, 2_000);
      assert.deepEqual(
        lines.map(({rounds, sinceMs}) => ({rounds, sinceMs})),
        [{rounds: 2, sinceMs: 1_000}],
      );
    });
  });
});
