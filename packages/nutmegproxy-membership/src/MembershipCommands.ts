/** Commands that membership dispatches. Handlers that only listen return false. */

import type {CellId, Instant, MinionId} from '@nutmegproxy/core';

import {createCommand} from '@nutmegproxy/core';

import type {Allotment} from './Membership.ts';

/** The record or this process's part of it has changed. */
export const ALLOTMENT_CHANGED = createCommand<Allotment>('ALLOTMENT_CHANGED');

/** This process may act again; `until` is the instant at which tenure ends if not renewed. */
export const TENURE_GAINED = createCommand<{readonly until: Instant}>('TENURE_GAINED');

/**
 * Tenure has ended. What runs may end by itself within the request limit; nothing new starts.
 * Always ask `holdsTenure` as well: this command comes some time after the fact.
 */
export const TENURE_LOST = createCommand<{readonly at: Instant}>('TENURE_LOST');

/** This incarnation has left the record or was removed; only a new one can join again. */
export const MEMBER_REMOVED = createCommand<{readonly at: Instant}>('MEMBER_REMOVED');

/** A cell that this process owns from now on. */
export interface CellAcquisition {
  readonly cell: CellId;
  readonly epoch: number;
  /** Modification revision of the cell's owner key, for the conditions of the task log. */
  readonly ownerRevision: number;
}

export const CELL_ACQUIRED = createCommand<CellAcquisition>('CELL_ACQUIRED');

/** The record names another owner, or this process lost the cell with its membership. */
export const CELL_LOST = createCommand<{readonly cell: CellId; readonly epoch: number}>(
  'CELL_LOST',
);

/** A cell that is to be handed over. */
export interface CellRelease {
  readonly cell: CellId;
  readonly epoch: number;
  /** To be called once nothing is started or written for the cell any more. */
  readonly released: () => void;
}

/** The handler that runs the cell returns true; without one the cell is released at once. */
export const CELL_RELEASE_WANTED = createCommand<CellRelease>('CELL_RELEASE_WANTED');

/** Slots of a minion that are to be given up. */
export interface ShareRelease {
  /** Slots of the minion that this process keeps. */
  readonly keep: number;
  readonly minion: MinionId;
  /** To be called once at most `keep` slots are in use or lent. */
  readonly released: () => void;
}

/** The handler that uses the slots returns true; without one they are released at once. */
export const SHARE_RELEASE_WANTED = createCommand<ShareRelease>('SHARE_RELEASE_WANTED');
