/** Public surface of the catalogue. */

export {CATALOGUE_CHANGED} from './CatalogueView.ts';
export type {CatalogueSource, CatalogueView} from './CatalogueView.ts';
