/** Planned stops that operators list in the catalogue. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryNode, Unregister} from '@nutmegproxy/core';

import {CATALOGUE_CHANGED} from '@nutmegproxy/catalogue';
import {PRIORITY_LOW} from '@nutmegproxy/core';

/**
 * Calls `onListed` when a revision lists this VM to stop.
 *
 * @example
 * registerListedStop(node, catalogue.source, () => void entry.stop());
 */
export function registerListedStop(
  node: EntryNode,
  source: CatalogueSource,
  onListed: () => void,
): Unregister {
  const checkStops = (): boolean => {
    if (source.current().stoppedVms.has(node.identity.vm)) {
      onListed();
    }
    return false;
  };
  return node.bus.register(CATALOGUE_CHANGED, checkStops, PRIORITY_LOW);
}
