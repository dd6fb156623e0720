/** The directory of the minions of one cell. */

import type {MinionId} from '@nutmegproxy/core';
import type {CellIndex} from '@nutmegproxy/jobs';
import type {StoreFailure} from '@nutmegproxy/store';
import type {ResultAsync} from 'neverthrow';

import {findMinionCell} from '@nutmegproxy/jobs';

import type {MinionDirectory, MinionSnapshot, MinionWatch} from './MinionDirectory.ts';

export interface CellDirectoryOptions {
  readonly cell: CellIndex;
  /** Number of cells of the fleet. */
  readonly cells: number;
  /** The directory of the whole fleet. */
  readonly directory: MinionDirectory;
}

export class CellDirectory implements MinionDirectory {
  readonly #options: CellDirectoryOptions;

  constructor(options: CellDirectoryOptions) {
    this.#options = options;
  }

  list(): ResultAsync<MinionSnapshot, StoreFailure> {
    return this.#options.directory.list().map(({minions, revision}) => ({
      minions: minions.filter((each) => this.#contains(each)),
      revision,
    }));
  }

  watch(fromRevision: number, handler: Parameters<MinionDirectory['watch']>[1]): MinionWatch {
    return this.#options.directory.watch(fromRevision, {
      onBroken: handler.onBroken,
      onChanges: (changes) => {
        const own = changes.filter((each) => this.#contains(each));
        if (own.length > 0) {
          handler.onChanges(own);
        }
      },
    });
  }

  #contains({id}: {readonly id: MinionId}): boolean {
    const {cell, cells} = this.#options;
    return findMinionCell(id, cells) === cell;
  }
}
