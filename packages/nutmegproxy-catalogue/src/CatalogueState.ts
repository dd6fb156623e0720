/** The catalogue revision applied in this process. */

import type {EntryNode} from '@nutmegproxy/core';

import {invariant} from '@nutmegproxy/core';

import type {CatalogueDelta} from './CatalogueSnapshot.ts';
import type {CatalogueSource} from './CatalogueView.ts';

import {CATALOGUE_EVENTS} from './CatalogueEvents.ts';
import {CatalogueSnapshot} from './CatalogueSnapshot.ts';
import {CATALOGUE_CHANGED} from './CatalogueView.ts';

/** Provides the newest snapshot, including the parts that operators read and edit. */
export interface SnapshotSource extends CatalogueSource {
  current(): CatalogueSnapshot;
  /** False until the catalogue was received from the store or a peer; it may be empty. */
  isKnown(): boolean;
}

/** Stores the newest snapshot; only a higher revision replaces it. */
export class CatalogueState implements SnapshotSource {
  #isKnown = false;
  readonly #node: EntryNode;
  #snapshot = CatalogueSnapshot.EMPTY;

  constructor(node: EntryNode) {
    this.#node = node;
  }

  current(): CatalogueSnapshot {
    return this.#snapshot;
  }

  /** Applies a delta; returns false if its revision is not higher or its base is not known here. */
  install(delta: CatalogueDelta, source: 'change' | 'peer' | 'store'): boolean {
    const {revision} = this.#snapshot;
    const isHigher = delta.record.revision > revision;
    const isApplicable = delta.since === 0 || delta.since <= revision;
    if (!isHigher || !isApplicable) {
      return false;
    }
    const next = this.#snapshot.apply(delta);
    invariant(next.revision > revision, 'catalogue: a revision that is not higher was applied');
    this.#snapshot = next;
    this.#isKnown = true;
    const {change, revision: applied} = delta.record;
    this.#node.events.record(CATALOGUE_EVENTS.APPLIED, {change, revision: applied, source});
    this.#node.bus.dispatch(CATALOGUE_CHANGED, next);
    return true;
  }

  isKnown(): boolean {
    return this.#isKnown;
  }

  /** Marks the catalogue as known because the store has none yet; the empty one applies. */
  markEmpty(): void {
    this.#isKnown = true;
  }
}
