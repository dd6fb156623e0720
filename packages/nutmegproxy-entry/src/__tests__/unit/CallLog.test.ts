import type {EventFields, Instant, RequestId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {CallLog} from '../../CallLog.ts';

const FIRST = brand<RequestId>('first');
const SECOND = brand<RequestId>('second');

describe('CallLog', () => {
  let lines: EventFields[];
  let log: CallLog;

  beforeEach(() => {
    lines = [];
    log = new CallLog({record: (_kind, fields) => lines.push(fields)});
  });

  function at(ms: number): Instant {
    return ms as Instant;
  }

  describe('a request without a response', () => {
    it('stands in each line until it has one, with its age', () => {
      const call = log.begin(FIRST, at(100));
      log.flush(at(1_000));
      log.flush(at(2_000));
      log.end(call, 'served', at(2_100));
      log.flush(at(3_000));
      const told = lines.map(({oldestMs, open, received, served, slowestMs}) => ({
        oldestMs,
        open,
        received,
        served,
        slowestMs,
      }));
      assert.deepEqual(told, [
        {oldestMs: 900, open: 1, received: 1, served: 0, slowestMs: 0},
        {oldestMs: 1_900, open: 1, received: 0, served: 0, slowestMs: 0},
      ]);
    });

    it('is the oldest one though a later one has a response', () => {
      log.begin(FIRST, at(0));
      log.end(log.begin(SECOND, at(10)), 'served', at(30));
      log.flush(at(1_000));
      const told = lines.map(({oldestMs, slowest, slowestMs}) => ({oldestMs, slowest, slowestMs}));
      assert.deepEqual(told, [{oldestMs: 1_000, slowest: SECOND, slowestMs: 20}]);
      assert.equal(log.openCalls, 1);
    });
  });

  describe('an outcome', () => {
    it('is counted once, in the line after it', () => {
      log.end(log.begin(FIRST, at(0)), 'refused', at(5));
      log.end(log.begin(SECOND, at(0)), 'abandoned', at(5));
      log.flush(at(1_000));
      log.begin(FIRST, at(1_001));
      log.flush(at(2_000));
      const told = lines.map(({abandoned, refused, served}) => ({abandoned, refused, served}));
      assert.deepEqual(told, [
        {abandoned: 1, refused: 1, served: 0},
        {abandoned: 0, refused: 0, served: 0},
      ]);
    });
  });

  describe('a second without a request', () => {
    it('has no line', () => {
      log.flush(at(1_000));
      assert.deepEqual(lines, []);
    });

    it('has a line when callers have opened connections', () => {
      log.recordConnection();
      log.flush(at(1_000));
      log.flush(at(2_000));
      assert.deepEqual(
        lines.map(({connections}) => connections),
        [1],
      );
    });
  });
});
