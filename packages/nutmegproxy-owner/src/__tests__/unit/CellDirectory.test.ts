import type {MinionId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {StoreFailure} from '@nutmegproxy/store';

import {brand} from '@nutmegproxy/core';
import {findMinionCell, listCells} from '@nutmegproxy/jobs';
import {errAsync, okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionChange, MinionDirectory, MinionWatch} from '../../MinionDirectory.ts';

import {CellDirectory} from '../../CellDirectory.ts';
import {createMinion} from './OwnerSamples.ts';

const CELLS = 3;
const IDS = Array.from({length: 30}, (_, number) => brand<MinionId>(`m${number}`));
const FAILURE: StoreFailure = {kind: 'unavailable', message: 'down'};
const {description} = createMinion();

/** A directory of the fleet whose watch reports what the test says. */
class FleetDirectory implements MinionDirectory {
  handler: Parameters<MinionDirectory['watch']>[1] | undefined;
  readonly watched: MinionWatch = {
    close: () => undefined,
    currentAsOf: undefined,
    isFailing: true,
  };
  isDown = false;

  list(): ReturnType<MinionDirectory['list']> {
    return this.isDown
      ? errAsync(FAILURE)
      : okAsync({minions: IDS.map((id) => ({...description, id})), revision: 5});
  }

  watch(_fromRevision: number, handler: Parameters<MinionDirectory['watch']>[1]): MinionWatch {
    this.handler = handler;
    return this.watched;
  }
}

describe('CellDirectory', () => {
  function open(directory: MinionDirectory, cell: CellIndex, cells = CELLS): CellDirectory {
    return new CellDirectory({cell, cells, directory});
  }

  it('lists each minion in one cell', async () => {
    const listed: MinionId[] = [];
    for (const cell of listCells(CELLS)) {
      const {minions, revision} = (await open(new FleetDirectory(), cell).list())._unsafeUnwrap();
      assert.equal(revision, 5);
      listed.push(...minions.map(({id}) => id));
    }
    assert.deepEqual(listed.sort(), [...IDS].sort());
  });

  it('lists all minions of a fleet that is not divided', async () => {
    const [cell] = listCells(1);
    assert.ok(cell !== undefined);
    const {minions} = (await open(new FleetDirectory(), cell, 1).list())._unsafeUnwrap();
    assert.equal(minions.length, IDS.length);
  });

  it('reports the changes and removals of its own minions alone', () => {
    for (const cell of listCells(CELLS)) {
      const fleet = new FleetDirectory();
      const changed: MinionChange[] = [];
      const watch = open(fleet, cell).watch(6, {
        onBroken: () => undefined,
        onChanges: (changes) => changed.push(...changes),
      });
      assert.equal(watch, fleet.watched);
      for (const id of IDS) {
        fleet.handler?.onChanges([{description: undefined, id}]);
      }
      const own = IDS.filter((id) => findMinionCell(id, CELLS) === cell);
      assert.deepEqual(
        changed.map(({id}) => id),
        own,
      );
    }
  });

  it('passes failures on', async () => {
    const fleet = new FleetDirectory();
    const [cell] = listCells(CELLS);
    assert.ok(cell !== undefined);
    let broken: StoreFailure | undefined;
    open(fleet, cell).watch(1, {
      onBroken: (failure) => {
        broken = failure;
      },
      onChanges: () => undefined,
    });
    fleet.handler?.onBroken(FAILURE);
    assert.equal(broken, FAILURE);
    fleet.isDown = true;
    assert.equal((await open(fleet, cell).list())._unsafeUnwrapErr(), FAILURE);
  });
});
