import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {explain, parseLogLine} from '../../Explain.ts';

function formatLine(
  time: number,
  vm: string,
  code: number,
  fields: Record<string, unknown>,
): string {
  return JSON.stringify({code, fields, level: 30, msg: `event ${code}`, time, vm});
}

const LOG = [
  formatLine(1_000, 'edge-a', 8211, {job: 'j1', request: 'r1'}),
  formatLine(1_010, 'edge-b', 8010, {job: 'j1', minion: 'm1', run: 1, task: 'j1.0.0.0'}),
  formatLine(1_020, 'edge-b', 8010, {job: 'j2', minion: 'm2', run: 1, task: 'j2.0.0.0'}),
  formatLine(2_000, 'edge-b', 8135, {minion: 'm1', what: 'hold'}),
  formatLine(2_100, 'edge-b', 8135, {minion: 'm2', what: 'hold'}),
  formatLine(2_500, 'edge-c', 8101, {fence: 9, term: 1}),
  formatLine(9_000, 'edge-c', 8013, {job: 'j1', minion: 'm1', reason: 'hold lapsed'}),
  formatLine(60_000, 'edge-c', 8101, {fence: 99, term: 2}),
  'not a log line',
];

describe('explain', () => {
  it('includes the events of the job that a request created', () => {
    const explanation = explain(LOG, 'r1');
    assert.equal(explanation.length, 5);
    assert.match(explanation[0] ?? '', /edge-a {2}8211 .*job=j1/);
    assert.match(explanation.at(-1) ?? '', /8013 .*reason=hold lapsed/);
  });

  it('includes faults of owners and of the minions involved, near in time, and no others', () => {
    const explanation = explain(LOG, 'j1').join('\n');
    assert.match(explanation, /8135 .*minion=m1/);
    assert.match(explanation, /8101 .*term=1/);
    assert.doesNotMatch(explanation, /m2|term=2/);
  });

  it('returns nothing for an id that no line contains', () => {
    assert.deepEqual(explain(LOG, 'r9'), []);
  });

  it('skips a prefix that a log collector adds to the line', () => {
    assert.equal(parseLogLine(`12.5 edge-a ${LOG[0] ?? ''}`)?.code, 8211);
    assert.equal(parseLogLine('{"level":30,"time":1'), undefined);
  });
});
