import type {Scenario} from '@nutmegproxy/schema';

import {deepEqual, equal, match, ok} from 'node:assert/strict';
import {createServer} from 'node:http';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

import type {CallOutcome} from '../../LoadFigures.ts';

import {Balancer} from '../../Balancer.ts';
import {LoadRecorder} from '../../LoadFigures.ts';
import {OpenLoop} from '../../OpenLoop.ts';
import {readArms} from '../../PolicyArms.ts';
import {drawRuns} from '../../RequestPlot.ts';
import {formatSpread, formatTable} from '../../RequestReport.ts';

function recordOf(outcome: CallOutcome, elapsedMs: number, onTime = false) {
  return {
    class: 'batch',
    elapsedMs,
    intendedMs: elapsedMs,
    onTime,
    outcome,
    retryAfter: false,
  } as const;
}

describe('LoadRecorder', () => {
  it('counts each outcome and includes only answered requests in the latencies', () => {
    const recorder = new LoadRecorder();
    recorder.add(recordOf('answered', 10, true));
    recorder.add(recordOf('answered', 600));
    recorder.add(recordOf('not-run', 2));
    recorder.add(recordOf('unknown', 5000));
    recorder.add(recordOf('cancelled', 20));
    const figures = recorder.read().get('batch');
    ok(figures);
    equal(figures.sent, 5);
    equal(figures.onTimeShare, 0.25);
    ok(Math.abs(figures.p999Ms - 600) < 1);
    ok(Math.abs(figures.refusalP99Ms - 2) < 0.1);
    equal(figures.notRunBare, 1);
    deepEqual(
      figures.timeline.map(({atMs}) => atMs),
      [0, 500],
    );
  });

  it('formats a table and draws a plot', () => {
    const recorder = new LoadRecorder();
    recorder.add(recordOf('answered', 10, true));
    const run = {arm: 'deadline', classes: recorder.read(), seed: 1, senderLateMs: 0};
    match(formatTable([run, run]), /\| deadline \| batch \| 10 \(10 to 10\) \|/);
    match(drawRuns('a < b', [run]), /^<svg [^]*a &lt; b[^]*<path d="M[^]*<\/svg>\n$/);
    equal(formatSpread([3, 1, 2], 0), '2 (1 to 3)');
  });
});

describe('readArms', () => {
  it('combines the policies of several options', () => {
    const arms = readArms(['queue=first-come,deadline', 'choice=round-robin'])._unsafeUnwrap();
    deepEqual(
      arms.map(({name}) => name),
      ['first-come round-robin', 'deadline round-robin'],
    );
    ok(readArms(['queue=best']).isErr());
  });
});

describe('OpenLoop', () => {
  it('measures latency from the intended time even if the request is sent late', async () => {
    const server = createServer((request, response) => {
      request.resume();
      void sleep(300).then(() => response.end('done'));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    ok(address !== null && typeof address === 'object');
    const entry = {
      callerUrl: `http://127.0.0.1:${address.port}`,
      isReady: () => Promise.resolve(true),
    };
    const recorder = new LoadRecorder();
    const traffic = {
      class: 'batch',
      entry: 'a',
      serviceMs: 1,
      share: 1,
      timeoutMs: 5000,
    } as const;
    const scenario = {faults: [], warmUpMs: 0} as unknown as Scenario;
    // The start lies in the past, so both requests are due before the first is sent.
    const startMs = performance.now() - 1000;
    const loop = new OpenLoop({balancer: new Balancer([entry]), recorder, scenario, startMs});
    await loop.run([0, 900].map((atMs) => ({atMs, draw: 1, serviceMs: 1, traffic})));
    server.close();
    const figures = recorder.read().get('batch');
    equal(figures?.answered, 2);
    ok(figures.percentiles.at(-1) !== undefined && figures.p999Ms >= 1300);
    ok((figures.percentiles[0] ?? 0) >= 400);
  });
});
