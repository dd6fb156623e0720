/** The catalogue as the other features read it: one consistent revision. */

import type {EntryId, TeamId} from '@nutmegproxy/core';
import type {Drain, Entry, Team} from '@nutmegproxy/schema';

import {createCommand} from '@nutmegproxy/core';

/** One applied revision; immutable. */
export interface CatalogueView {
  readonly entries: ReadonlyMap<EntryId, Entry>;
  isDrained(target: Drain['target'], id: string): boolean;
  /** Rises by one with each accepted change; 0 before the first catalogue is known. */
  readonly revision: number;
  readonly stoppedVms: ReadonlySet<string>;
  readonly teams: ReadonlyMap<TeamId, Team>;
}

/** Gives the newest view; features ask at each decision and keep no copy. */
export interface CatalogueSource {
  current(): CatalogueView;
}

/** A higher revision is in force in this process; handlers return false. */
export const CATALOGUE_CHANGED = createCommand<CatalogueView>('CATALOGUE_CHANGED');
