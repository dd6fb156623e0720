/** Keys of the catalogue in the store. */

import type {TeamId} from '@nutmegproxy/core';

const REVISION_DIGITS = 12;

/** Builds the catalogue's keys under a prefix. */
export class CatalogueKeys {
  readonly head: string;
  readonly historyPrefix: string;
  readonly plans: string;
  readonly teamPrefix: string;

  constructor(prefix: string) {
    this.head = `${prefix}/catalogue/head`;
    this.historyPrefix = `${prefix}/catalogue/history/`;
    this.plans = `${prefix}/catalogue/plans`;
    this.teamPrefix = `${prefix}/catalogue/team/`;
  }

  history(revision: number): string {
    return this.historyPrefix + String(revision).padStart(REVISION_DIGITS, '0');
  }

  team(team: TeamId): string {
    return this.teamPrefix + team;
  }
}
