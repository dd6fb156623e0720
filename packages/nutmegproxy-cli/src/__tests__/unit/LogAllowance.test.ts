import type {EventKind, NodeIdentity} from '@nutmegproxy/core';

import {brand, ManualClock} from '@nutmegproxy/core';
import {ENTRY_EVENTS} from '@nutmegproxy/entry';
import {EventLog, LogStream} from '@nutmegproxy/events';
import {OWNER_EVENTS} from '@nutmegproxy/owner';
import {SCHEDULING_EVENTS} from '@nutmegproxy/scheduling';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {LogLine} from '../../Explain.ts';

import {parseLogLine} from '../../Explain.ts';

const BYTES_PER_SECOND = 200_000;
const BURST_SECONDS = 2;
const IDENTITY: NodeIdentity = {
  dataCentre: brand('dc-a'),
  incarnation: brand('5f0f9f0e-30b8-4a5f-9c6e-0a1b2c3d4e5f'),
  region: brand('north'),
  vm: brand('edge-a-1'),
};

/** Kinds of events that come once for each request, job, run or responding minion. */
const BULK_KINDS: readonly EventKind[] = [
  ENTRY_EVENTS.CALL_FORWARDED,
  ENTRY_EVENTS.CALL_REFUSED,
  ENTRY_EVENTS.CANCEL_ACCEPTED,
  ENTRY_EVENTS.JOB_ACCEPTED,
  ENTRY_EVENTS.JOB_ALREADY_STORED,
  ENTRY_EVENTS.JOB_STATUS_RETURNED,
  ENTRY_EVENTS.QUEUE_LENGTH_RETURNED,
  ENTRY_EVENTS.ROUTE_NOT_FOUND,
  OWNER_EVENTS.JOB_DISCOVERED,
  OWNER_EVENTS.JOBS_READ,
  OWNER_EVENTS.JOURNAL_WRITTEN,
  OWNER_EVENTS.MINION_REACHED,
  SCHEDULING_EVENTS.JOB_COMPLETED,
  SCHEDULING_EVENTS.RUN_ENDED,
  SCHEDULING_EVENTS.RUN_PLACED,
  SCHEDULING_EVENTS.RUN_STOPPED,
  SCHEDULING_EVENTS.RUNS_ADOPTED,
];

/** Kinds of events that explain a takeover and the waits after it. */
const EXPLAINING_KINDS: readonly EventKind[] = [
  ...[...Object.values(OWNER_EVENTS), ...Object.values(SCHEDULING_EVENTS)].filter(
    ({level}) => level !== 'info',
  ),
  OWNER_EVENTS.FLEET_SUMMARY,
  OWNER_EVENTS.MINION_GONE,
  OWNER_EVENTS.OWNERSHIP_ACQUIRED,
  OWNER_EVENTS.RECOVERY_DONE,
  OWNER_EVENTS.RECOVERY_WAITING,
  OWNER_EVENTS.TASKS_WITHHELD,
  SCHEDULING_EVENTS.LONG_RUNNING_JOB_WAITING,
  SCHEDULING_EVENTS.TASK_WITHHELD,
];

describe('The allowance of the log, while events come in bulk,', () => {
  const clock = new ManualClock();
  let lines: string[];
  let log: EventLog;

  beforeEach(() => {
    lines = [];
    const output = {write: (text: string): unknown => lines.push(...text.split(/(?<=\n)/))};
    const now = (): number => clock.monotonic();
    log = new EventLog({
      clock,
      destination: new LogStream({bytesPerSecond: BYTES_PER_SECOND, now, output}),
      identity: IDENTITY,
      level: 'info',
      ringSize: 16,
    });
  });

  function recordMany(kind: EventKind, count: number): void {
    const fields = {minion: 'i-c6b4a0c576', task: '6deb3b9f03f4e253.0.0.0', what: 'x'.repeat(100)};
    for (let number = 0; number < count; number += 1) {
      log.record(kind, {...fields, number});
    }
  }

  function listWritten(): LogLine[] {
    return lines.flatMap((line) => parseLogLine(line) ?? []);
  }

  for (const kind of BULK_KINDS) {
    it(`leaves room for those that explain a takeover: ${kind.code}`, () => {
      for (let step = 0; step < 18; step += 1) {
        recordMany(kind, 200);
        for (const explaining of EXPLAINING_KINDS) {
          recordMany(explaining, 1);
        }
        clock.advance(100);
      }
      const written = listWritten();
      for (const {code} of EXPLAINING_KINDS) {
        assert.equal(written.filter((line) => line.code === code).length, 18, String(code));
      }
      const bulk = written.filter(({code}) => code === kind.code).length;
      assert.ok(bulk > 200 && bulk < 18 * 200);
    });
  }

  it('stays within its total', () => {
    for (let step = 0; step < 20; step += 1) {
      for (const kind of [...BULK_KINDS, ...EXPLAINING_KINDS]) {
        recordMany(kind, 50);
      }
      clock.advance(100);
    }
    const bytes = lines.filter((line) => parseLogLine(line) !== undefined).join('').length;
    assert.ok(bytes <= BYTES_PER_SECOND * (BURST_SECONDS + 2));
  });
});
