/** Read access to one consistent catalogue revision for other features. */

import type {EntryId, TeamId} from '@nutmegproxy/core';
import type {Drain, Entry, Team} from '@nutmegproxy/schema';

import {createCommand} from '@nutmegproxy/core';

/** An immutable applied revision. */
export interface CatalogueView {
  readonly entries: ReadonlyMap<EntryId, Entry>;
  isDrained(target: Drain['target'], id: string): boolean;
  /** Increases by one with each accepted change; 0 before the first catalogue is known. */
  readonly revision: number;
  readonly stoppedVms: ReadonlySet<string>;
  readonly teams: ReadonlyMap<TeamId, Team>;
}

/** Provides the newest view; features read it for each decision and do not cache it. */
export interface CatalogueSource {
  current(): CatalogueView;
}

/** Dispatched when this process has applied a higher revision; handlers return false. */
export const CATALOGUE_CHANGED = createCommand<CatalogueView>('CATALOGUE_CHANGED');
