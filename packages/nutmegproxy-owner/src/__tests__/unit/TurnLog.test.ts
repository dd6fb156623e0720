import type {EventFields, EventSink, Instant} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {LONG_TURN_LOG_INTERVAL_MS, LONG_TURN_MS} from '../../OwnerConstants.ts';
import {OwnerLoad} from '../../OwnerLoad.ts';
import {TurnLog} from '../../TurnLog.ts';

describe('TurnLog', () => {
  let fields: EventFields[];
  let load: OwnerLoad;
  let log: TurnLog;
  let now: number;

  const events: EventSink = {
    record: (_kind, each) => {
      fields.push(each);
    },
  };

  beforeEach(() => {
    fields = [];
    now = 0;
    load = new OwnerLoad(() => ({active: 0, idle: now}));
    log = new TurnLog({events, load, term: 3});
  });

  function record(durationMs: number, afterMs = 1): void {
    now += afterMs;
    log.record({durationMs, phase: 'planning', workMs: durationMs - 1}, now as Instant);
  }

  describe('a long turn', () => {
    it('is logged with the phase that took longest', () => {
      record(LONG_TURN_MS);
      assert.deepEqual(fields, [
        {
          count: 1,
          phase: 'planning',
          term: 3,
          turnMs: LONG_TURN_MS,
          workMs: LONG_TURN_MS - 1,
        },
      ]);
    });

    it('is counted in the next line when one was logged a short time ago', () => {
      record(LONG_TURN_MS);
      record(LONG_TURN_MS);
      record(LONG_TURN_MS);
      assert.equal(fields.length, 1);
      record(LONG_TURN_MS, LONG_TURN_LOG_INTERVAL_MS);
      assert.deepEqual(
        fields.map(({count}) => count),
        [1, 3],
      );
    });
  });

  describe('a short turn', () => {
    it('is not logged', () => {
      record(LONG_TURN_MS - 1);
      assert.deepEqual(fields, []);
    });
  });

  describe('the longest turn', () => {
    it('is a field of the summary, from one summary to the next', () => {
      record(40);
      record(120);
      record(60);
      assert.equal(load.takeFields().longestTurnMs, 120);
      assert.equal(load.takeFields().longestTurnMs, 0);
    });
  });
});
