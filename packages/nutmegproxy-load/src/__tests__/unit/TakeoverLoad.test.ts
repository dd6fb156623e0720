import type {WallTime} from '@nutmegproxy/core';

import {parseTaskName} from '@nutmegproxy/jobs';
import {deepEqual, equal, notDeepEqual, ok} from 'node:assert/strict';
import {describe, it} from 'node:test';

import {drawTakeoverLoad} from '../../TakeoverLoad.ts';

const SIZE = {jobs: 200, minions: 30};
const WALL = 1_700_000_000_000 as WallTime;

describe('TakeoverLoad', () => {
  describe('drawTakeoverLoad', () => {
    it('draws the same state from the same seed', () => {
      const state = drawTakeoverLoad(SIZE, 1, WALL);
      deepEqual(drawTakeoverLoad(SIZE, 1, WALL), state);
      notDeepEqual(drawTakeoverLoad(SIZE, 2, WALL), state);
    });

    it('has the given numbers of minions and jobs', () => {
      const {minions, work} = drawTakeoverLoad(SIZE, 1, WALL);
      equal(minions.length, SIZE.minions);
      equal(work.length, SIZE.jobs);
    });

    it('names a task of a stored job in each run', () => {
      const {runs, work} = drawTakeoverLoad(SIZE, 1, WALL);
      const counts = new Map(work.map(({job}) => [job.id, job.steps[0]?.count ?? 0]));
      for (const {task} of runs) {
        const {index, job} = parseTaskName(task) ?? {};
        ok(job !== undefined && index !== undefined && index < (counts.get(job) ?? 0), task);
      }
    });
  });
});
