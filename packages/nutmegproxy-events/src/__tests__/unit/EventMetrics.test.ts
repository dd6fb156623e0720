import type {EventFields, EventKind} from '@nutmegproxy/core';

import {SILENT_EVENTS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';
import {Registry} from 'prom-client';

import {EventMetrics} from '../../index.ts';

const ENDED: EventKind = {code: 8011, level: 'info', text: 'A run ended.'};
const FAILED: EventKind = {code: 8002, level: 'warn', text: 'A job failed.'};
const SUMMARY: EventKind = {code: 8030, level: 'info', text: 'The fleet.'};

describe('EventMetrics', () => {
  let metrics: EventMetrics;
  let registry: Registry;

  beforeEach(() => {
    registry = new Registry();
    metrics = new EventMetrics({
      durationFieldByCode: {[ENDED.code]: 'ms'},
      gaugedKinds: [SUMMARY],
      registry,
      sink: SILENT_EVENTS,
    });
  });

  async function readSeries(name: string): Promise<string[]> {
    const text = await registry.metrics();
    return text.split('\n').filter((line) => line.startsWith(name));
  }

  describe('counts events', () => {
    it('by code, level and outcome, in the order in which they first came', async () => {
      const events: [EventKind, EventFields][] = [
        [FAILED, {job: 'a'}],
        [ENDED, {outcome: 'done'}],
        [ENDED, {outcome: 'failed'}],
        [SUMMARY, {kind: 'full', status: 'unused'}],
        [ENDED, {outcome: 'done'}],
        [ENDED, {status: 'queued'}],
        [{...ENDED, level: 'debug'}, {outcome: 'done'}],
        [ENDED, {outcome: 7}],
      ];
      for (const [kind, fields] of events) {
        metrics.record(kind, fields);
      }
      assert.deepEqual(await readSeries('nutmegproxy_events_total'), [
        'nutmegproxy_events_total{code="8002",level="warn",outcome=""} 1',
        'nutmegproxy_events_total{code="8011",level="info",outcome="done"} 2',
        'nutmegproxy_events_total{code="8011",level="info",outcome="failed"} 1',
        'nutmegproxy_events_total{code="8030",level="info",outcome="full"} 1',
        'nutmegproxy_events_total{code="8011",level="info",outcome="queued"} 1',
        'nutmegproxy_events_total{code="8011",level="debug",outcome="done"} 1',
        'nutmegproxy_events_total{code="8011",level="info",outcome=""} 1',
      ]);
    });

    it('once, however often the metrics are read', async () => {
      const read = (): Promise<string[]> => readSeries('nutmegproxy_events_total');
      assert.deepEqual(await read(), []);
      metrics.record(ENDED, {outcome: 'done'});
      await read();
      const first = 'nutmegproxy_events_total{code="8011",level="info",outcome="done"}';
      assert.deepEqual(await read(), [`${first} 1`]);
      metrics.record(FAILED, {});
      metrics.record(ENDED, {outcome: 'done'});
      const second = 'nutmegproxy_events_total{code="8002",level="warn",outcome=""}';
      assert.deepEqual(await read(), [`${first} 2`, `${second} 1`]);
    });
  });

  it('records durations in seconds', async () => {
    for (const ms of [4, 100, 100, 40_000]) {
      metrics.record(ENDED, {ms, outcome: 'done'});
    }
    metrics.record(ENDED, {ms: 'unknown'});
    metrics.record(FAILED, {ms: 5});
    const counts = [1, 1, 1, 1, 3, 3, 3, 3, 3, 3, 3, 3];
    const bounds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];
    assert.deepEqual(await readSeries('nutmegproxy_event_seconds'), [
      ...bounds.map(
        (bound, index) =>
          `nutmegproxy_event_seconds_bucket{le="${bound}",code="8011",field="ms"} ${counts[index] ?? 0}`,
      ),
      'nutmegproxy_event_seconds_bucket{le="+Inf",code="8011",field="ms"} 4',
      'nutmegproxy_event_seconds_sum{code="8011",field="ms"} 40.204',
      'nutmegproxy_event_seconds_count{code="8011",field="ms"} 4',
    ]);
  });

  it('exports the newest numbers of gauged kinds', async () => {
    metrics.record(SUMMARY, {minions: 3, name: 'x'});
    metrics.record(SUMMARY, {minions: 4});
    metrics.record(FAILED, {minions: 9});
    assert.deepEqual(await readSeries('nutmegproxy_fleet'), [
      'nutmegproxy_fleet{what="minions"} 4',
    ]);
  });

  it('exports the newest numbers of each cell that a VM owns, those of the first one without a label', async () => {
    metrics.record(SUMMARY, {minions: 3});
    metrics.record(SUMMARY, {cell: 1, minions: 4});
    metrics.record(SUMMARY, {cell: 2, minions: 6});
    metrics.record(SUMMARY, {cell: 1, minions: 5});
    assert.deepEqual(await readSeries('nutmegproxy_fleet'), [
      'nutmegproxy_fleet{what="minions"} 3',
      'nutmegproxy_fleet{what="minions",cell="1"} 5',
      'nutmegproxy_fleet{what="minions",cell="2"} 6',
    ]);
  });
});
