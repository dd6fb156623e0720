import type {EntryNode} from '@nutmegproxy/core';

import {brand, CommandBus, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Registry} from 'prom-client';

import type {CatalogueDelta} from '../../CatalogueSnapshot.ts';

import {CatalogueState} from '../../CatalogueState.ts';
import {CATALOGUE_CHANGED} from '../../index.ts';

function createNode(): EntryNode {
  return {
    bus: new CommandBus(),
    clock: new ManualClock(),
    events: SILENT_EVENTS,
    identity: {
      dataCentre: brand('dc-a'),
      incarnation: brand('entry-1-1'),
      region: brand('north'),
      vm: brand('entry-1'),
    },
    metrics: new Registry(),
  };
}

/** Returns a delta that replaces the catalogue with one team. */
function makeDelta(revision: number, team: string): CatalogueDelta {
  const record = {
    at: 0,
    by: 'entry-1',
    change: `change-${revision}-${team}`,
    changedTeams: [team],
    plans: false,
    removedTeams: [],
    revision,
  };
  return {record, removed: [], since: 0, teams: [{entries: [], revision, team: {id: team}}]};
}

describe('CatalogueState', () => {
  describe('install', () => {
    for (const source of ['change', 'peer', 'store'] as const) {
      it(`applies only a higher revision, from ${source}`, () => {
        const node = createNode();
        const state = new CatalogueState(node);
        let notificationCount = 0;
        node.bus.register(
          CATALOGUE_CHANGED,
          () => {
            notificationCount += 1;
            return false;
          },
          0,
        );
        assert.equal(state.install(makeDelta(5, 'five'), source), true);
        assert.equal(state.install(makeDelta(4, 'four'), source), false);
        assert.equal(state.install(makeDelta(5, 'other'), source), false);
        assert.equal(state.current().revision, 5);
        assert.deepEqual([...state.current().teams.keys()], ['five']);
        assert.equal(notificationCount, 1);
      });
    }
  });
});
