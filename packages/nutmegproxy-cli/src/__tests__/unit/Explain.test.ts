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

  it('says for what the tasks of the job wait, and includes events of the minion that is waited for', () => {
    const job = '3f6718a4051e2adb';
    const other = '778dbe0ed9382b09';
    const log = [
      formatLine(1_000, 'edge-a', 8211, {job, request: 'r1'}),
      formatLine(5_000, 'edge-c', 8027, {
        named: `${other}.0.0.0/room/9000 ${job}.0.0.0/unknown-result/4000/on=m2`,
        pending: 2,
      }),
      formatLine(5_010, 'edge-c', 8135, {minion: 'm1'}),
      formatLine(5_011, 'edge-c', 8135, {minion: 'm2'}),
    ];
    for (const id of ['r1', job]) {
      const explanation = explain(log, id);
      assert.equal(explanation.length, 3);
      assert.match(
        explanation[1] ?? '',
        /8027 .* minion=m2 named=3f6718a4051e2adb\.0\.0\.0\/unknown-/,
      );
      assert.doesNotMatch(explanation[1] ?? '', /room|pending=/);
      assert.match(explanation[2] ?? '', /8135 .*minion=m2/);
    }
  });

  it('includes the adoption of a run by the next owner, and events of the minion that listed it', () => {
    const job = '3f6718a4051e2adb';
    const other = '778dbe0ed9382b09';
    const log = [
      formatLine(1_000, 'edge-a', 8211, {job, request: 'r1'}),
      formatLine(1_990, 'edge-c', 8136, {minions: 2, unlisted: 0}),
      formatLine(2_000, 'edge-c', 8012, {minion: 'm1', named: `${other}.0.0.0/7`, runs: 1}),
      formatLine(2_010, 'edge-c', 8012, {
        minion: 'm2',
        named: `${other}.0.0.1/8 ${job}.0.0.0/9`,
        runs: 2,
      }),
      formatLine(2_011, 'edge-c', 8133, {minion: 'm1'}),
      formatLine(2_012, 'edge-c', 8133, {minion: 'm2'}),
    ];
    for (const id of ['r1', job]) {
      const explanation = explain(log, id);
      assert.equal(explanation.length, 4);
      assert.match(explanation[1] ?? '', /8136 .*minions=2/);
      assert.match(explanation[2] ?? '', /8012 .*minion=m2 .*3f6718a4051e2adb\.0\.0\.0\/9/);
      assert.match(explanation[3] ?? '', /8133 .*minion=m2/);
    }
  });

  it('includes the line in which the next owner names the job, and no others of that owner', () => {
    const job = '3f6718a4051e2adb';
    const other = '778dbe0ed9382b09';
    const log = [
      formatLine(1_000, 'edge-a', 8211, {job, request: 'r1', revision: 20}),
      formatLine(1_010, 'edge-b', 8120, {job, revision: 20, status: 'queued'}),
      formatLine(60_000, 'edge-c', 8101, {fence: 40, term: 1}),
      formatLine(60_010, 'edge-c', 8123, {fence: 40, jobs: 1, named: `${other}/running/19`}),
      formatLine(60_011, 'edge-c', 8123, {fence: 40, jobs: 1, named: `${job}/queued/20`}),
    ];
    for (const id of ['r1', job]) {
      const codes = explain(log, id).map((line) => / {2}(\d{4}) {2}/.exec(line)?.[1]);
      assert.deepEqual(codes, ['8211', '8120', '8101', '8123']);
    }
  });

  it('includes the crashes of the minions under a task that is restrained, and what ran there', () => {
    const job = '3f6718a4051e2adb';
    const task = `${job}.0.0.0`;
    const log = [
      formatLine(1_000, 'edge-a', 8010, {job, minion: 'm1', run: 1, task}),
      formatLine(4_000, 'edge-a', 8022, {cause: 'task', minion: 'm1'}),
      formatLine(4_001, 'edge-a', 8023, {
        minion: 'm1',
        named: `${task}/1 0000dbd257ca0032.0.0.1/1`,
      }),
      formatLine(4_002, 'edge-a', 8015, {job, minion: 'm1', run: 1, task}),
      formatLine(4_003, 'edge-a', 8022, {cause: 'task', minion: 'm2'}),
      formatLine(9_000, 'edge-a', 8028, {job, minions: 'm1 m3', task}),
      formatLine(9_001, 'edge-a', 8002, {job}),
    ];
    const codes = explain(log, job).map((line) => / {2}(\d{4}) {2}/.exec(line)?.[1]);
    assert.deepEqual(codes, ['8010', '8022', '8023', '8015', '8028', '8002']);
  });

  it('returns nothing for an id that no line contains', () => {
    assert.deepEqual(explain(LOG, 'r9'), []);
  });

  it('skips a prefix that a log collector adds to the line', () => {
    assert.equal(parseLogLine(`12.5 edge-a ${LOG[0] ?? ''}`)?.code, 8211);
    assert.equal(parseLogLine('{"level":30,"time":1'), undefined);
  });
});
