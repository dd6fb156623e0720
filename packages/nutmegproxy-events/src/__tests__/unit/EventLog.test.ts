import type {EventKind, NodeIdentity} from '@nutmegproxy/core';

import {brand, ManualClock} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EventLog, EventRing} from '../../index.ts';

const KIND: EventKind = {code: 7, level: 'info', text: 'something happened'};
const IDENTITY: NodeIdentity = {
  dataCentre: brand('dc-a'),
  incarnation: brand('i1'),
  region: brand('north'),
  vm: brand('entry-1'),
};

describe('EventRing', () => {
  it('keeps the newest events and counts those that were overwritten', () => {
    const clock = new ManualClock();
    const ring = new EventRing(3);
    for (let number = 1; number <= 5; number += 1) {
      ring.add(KIND, {number}, clock.wall());
    }
    const page = ring.readAfter(0, 2);
    assert.deepEqual(
      page.events.map((event) => event.sequence),
      [3, 4],
    );
    assert.equal(page.missed, 2);
    assert.equal(page.next, 4);
    assert.deepEqual(ring.readAfter(5, 10), {events: [], missed: 0, next: 5});
  });
});

describe('EventLog', () => {
  it('logs the code and redacts fields that hold secrets', () => {
    const lines: string[] = [];
    const log = new EventLog({
      clock: new ManualClock(),
      destination: {write: (line: string) => lines.push(line)},
      identity: IDENTITY,
      level: 'info',
      ringSize: 16,
    });
    log.record(KIND, {operatorToken: 'hidden', vm: 'entry-2'});
    log.record({...KIND, level: 'debug'}, {});
    assert.equal(lines.length, 1);
    const line = JSON.parse(lines[0] ?? '') as Record<string, unknown>;
    assert.equal(line.code, 7);
    assert.deepEqual(line.fields, {operatorToken: '[secret]', vm: 'entry-2'});
    assert.equal(log.readAfter(0, 10).events.length, 2);
  });

  it('tells its destination which events are frequent, and keeps those that it drops in the ring', () => {
    const lines: string[] = [];
    const log = new EventLog({
      clock: new ManualClock(),
      destination: {
        dropIfExhausted: (isFrequent) => isFrequent,
        write: (line: string) => lines.push(line),
      },
      identity: IDENTITY,
      level: 'info',
      ringSize: 16,
    });
    log.record({...KIND, isFrequent: true}, {});
    log.record(KIND, {});
    assert.equal(lines.length, 1);
    assert.match(lines[0] ?? '', /"sequence":2/);
    assert.equal(log.readAfter(0, 10).events.length, 2);
  });

  it('has frequent events wait for others, and no others', () => {
    const written: string[][] = [];
    let waiting: string[] = [];
    const log = new EventLog({
      clock: new ManualClock(),
      destination: {
        flush: () => {
          written.push(waiting);
          waiting = [];
        },
        write: (line: string) => {
          waiting.push(line);
        },
      },
      identity: IDENTITY,
      level: 'info',
      ringSize: 16,
    });
    log.record({...KIND, isFrequent: true}, {});
    log.record({...KIND, isFrequent: true}, {});
    assert.equal(written.length, 0);
    log.record(KIND, {});
    assert.deepEqual(
      written.map((lines) => lines.length),
      [3],
    );
    log.record({...KIND, level: 'debug'}, {});
    assert.equal(written.length, 1);
  });
});
