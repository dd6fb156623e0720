/**
 * Owners that are stopped or killed so soon that they have not read what the one before stored: no task has two live
 * runs, and interrupted lasting tasks run again in time. Runs by hand choose other plays by UNREAD_RECORDS_SEED and
 * UNREAD_RECORDS_RUNS; the log of a play is printed for UNREAD_RECORDS_PLAY.
 */

import fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {UnreadRecordsPlay} from './UnreadRecordsPlays.ts';

import {findIdle, findRunsBesideOthers} from './RunTimelines.ts';
import {ANY_PLAYS, PLANNED_PLAYS} from './UnreadRecordsPlays.ts';
import {UnreadRecordsScenario} from './UnreadRecordsScenario.ts';

const SEED = Number(process.env.UNREAD_RECORDS_SEED ?? 7);
const RUNS = Number(process.env.UNREAD_RECORDS_RUNS ?? 40);
/** Index of the only play; undefined for all. */
const ONLY_PLAY = process.env.UNREAD_RECORDS_PLAY;
/** Time in milliseconds after its last run within which a lasting task has to run again, and the steps of a play. */
const RESTART_LIMIT_MS = 9_130;

/** Plays drawn plays and returns what is wrong in each. */
async function playAll(
  plays: fc.Arbitrary<UnreadRecordsPlay>,
  find: (scenario: UnreadRecordsScenario) => readonly string[],
): Promise<string[]> {
  const found: string[] = [];
  for (const [index, play] of fc.sample(fc.noBias(plays), {numRuns: RUNS, seed: SEED}).entries()) {
    if (ONLY_PLAY === undefined || index === Number(ONLY_PLAY)) {
      const scenario = new UnreadRecordsScenario(play);
      await scenario.run();
      found.push(...find(scenario).map((each) => `play ${index}: ${each}`));
      if (ONLY_PLAY !== undefined) {
        console.log([JSON.stringify(play), ...scenario.log].join('\n'));
      }
    }
  }
  return found;
}

describe('Owners that end before they have read what the one before stored', () => {
  it(`never let a task run twice at once, in drawn plays of seed ${SEED}`, async () => {
    assert.deepEqual(await playAll(ANY_PLAYS, ({minions}) => findRunsBesideOthers(minions)), []);
  });

  describe('and that were stopped as planned, while the next VM watched the ownership', () => {
    it(`let no lasting task wait for too long, in drawn plays of seed ${SEED}`, async () => {
      const find = ({minions, now}: UnreadRecordsScenario): string[] => [
        ...findRunsBesideOthers(minions),
        ...findIdle(minions, RESTART_LIMIT_MS, now),
      ];
      assert.deepEqual(await playAll(PLANNED_PLAYS, find), []);
    });
  });
});
