/** Stops this process when an operator lists its VM under the catalogue's `stops`. */

import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {EntryNode, Unregister} from '@nutmegproxy/core';

import {CATALOGUE_CHANGED} from '@nutmegproxy/catalogue';
import {PRIORITY_LOW} from '@nutmegproxy/core';

/**
 * Calls `onListed` for each applied revision that lists this VM under `stops`.
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
