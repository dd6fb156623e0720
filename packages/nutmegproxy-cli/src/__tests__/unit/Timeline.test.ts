import type {ProcessTimeline} from '@nutmegproxy/admin';
import type {WallTime} from '@nutmegproxy/core';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {formatEntry, mergeTimelines, toTraceEvents} from '../../index.ts';

function createTimeline(vm: string, walls: readonly number[]): ProcessTimeline {
  const events = walls.map((wall, index) => ({
    code: 1,
    fields: {vm},
    level: 'info' as const,
    sequence: index + 1,
    text: 'something happened',
    wall: wall as WallTime,
  }));
  return {dataCentre: 'dc-a', events, incarnation: `${vm}-i`, missed: 0, next: walls.length, vm};
}

describe('Timeline', () => {
  it('sorts the events of all processes and includes each process once', () => {
    const [a, b] = [createTimeline('entry-1', [1, 5]), createTimeline('entry-2', [3])];
    const entries = mergeTimelines([a, b, a]);
    assert.deepEqual(
      entries.map(({event, vm}) => `${vm}@${event.wall}`),
      ['entry-1@1', 'entry-2@3', 'entry-1@5'],
    );
    assert.match(formatEntry(entries[0] ?? assert.fail()), /entry-1 1 info something happened/);
  });

  it('creates one trace process per incarnation', () => {
    const trace = toTraceEvents(
      mergeTimelines([createTimeline('entry-1', [1]), createTimeline('entry-2', [2])]),
    );
    const titles = trace.filter(({ph}) => ph === 'M').map(({args, pid}) => [pid, args.name]);
    assert.deepEqual(titles, [
      [1, 'entry-1 entry-1-i'],
      [2, 'entry-2 entry-2-i'],
    ]);
    assert.deepEqual(
      trace.filter(({ph}) => ph === 'i').map(({pid, ts}) => [pid, ts]),
      [
        [1, 1_000],
        [2, 2_000],
      ],
    );
  });
});
