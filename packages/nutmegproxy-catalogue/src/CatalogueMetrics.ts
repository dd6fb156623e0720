/** Metrics of the catalogue. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';

import {Gauge} from 'prom-client';

import type {CatalogueSource} from './CatalogueView.ts';

const REVISION_METRIC = 'nutmegproxy_catalogue_revision';
const ENTRIES_METRIC = 'nutmegproxy_catalogue_entries';

/** Registers gauges for the applied revision and its number of entries. */
export function registerCatalogueMetrics(node: EntryNode, source: CatalogueSource): Unregister {
  const registers = [node.metrics];
  const revision = new Gauge({
    collect: () => {
      revision.set(source.current().revision);
    },
    help: 'Applied catalogue revision.',
    name: REVISION_METRIC,
    registers,
  });
  const entries = new Gauge({
    collect: () => {
      entries.set(source.current().entries.size);
    },
    help: 'Entries in the applied catalogue revision.',
    name: ENTRIES_METRIC,
    registers,
  });
  return () => {
    node.metrics.removeSingleMetric(REVISION_METRIC);
    node.metrics.removeSingleMetric(ENTRIES_METRIC);
  };
}
