/** Commands that membership dispatches. Handlers that only observe them return false. */

import type {CellId, Instant, MinionId} from '@nutmegproxy/core';

import {createCommand} from '@nutmegproxy/core';

import type {Allotment} from './Membership.ts';

/** The record has changed. */
export const ALLOTMENT_CHANGED = createCommand<Allotment>('ALLOTMENT_CHANGED');

/** This process holds tenure; `until` is the instant at which it ends unless renewed. */
export const TENURE_GAINED = createCommand<{readonly until: Instant}>('TENURE_GAINED');

/**
 * Tenure has ended. Running requests may finish within the request limit; nothing new may start.
 * Always check `holdsTenure` as well, since this command is dispatched with a delay.
 */
export const TENURE_LOST = createCommand<{readonly at: Instant}>('TENURE_LOST');

/** This incarnation has left the record or was removed; only a new one can join again. */
export const MEMBER_REMOVED = createCommand<{readonly at: Instant}>('MEMBER_REMOVED');

/** A cell that this process has acquired. */
export interface CellAcquisition {
  readonly cell: CellId;
  readonly epoch: number;
  /** Modification revision of the cell's owner key, for write conditions of the task log. */
  readonly ownerRevision: number;
}

export const CELL_ACQUIRED = createCommand<CellAcquisition>('CELL_ACQUIRED');

/** The cell has another owner, or this process is no longer a member. */
export const CELL_LOST = createCommand<{readonly cell: CellId; readonly epoch: number}>(
  'CELL_LOST',
);

/** A cell that is to be handed over. */
export interface CellRelease {
  readonly cell: CellId;
  readonly epoch: number;
  /** Must be called once nothing more is started or written for the cell. */
  readonly released: () => void;
}

/** The handler that runs the cell returns true; if none does, the cell is released at once. */
export const CELL_RELEASE_WANTED = createCommand<CellRelease>('CELL_RELEASE_WANTED');

/** Slots of a minion that are to be given up. */
export interface ShareRelease {
  /** Slots of the minion that this process keeps. */
  readonly keep: number;
  readonly minion: MinionId;
  /** Must be called once at most `keep` slots are in use or lent. */
  readonly released: () => void;
}

/** The handler that uses the slots returns true; if none does, they are released at once. */
export const SHARE_RELEASE_WANTED = createCommand<ShareRelease>('SHARE_RELEASE_WANTED');
