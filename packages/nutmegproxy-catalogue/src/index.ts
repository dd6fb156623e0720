/** Public API of the catalogue. */

export {CatalogueChanges} from './CatalogueChanges.ts';
export type {AcceptedChange, ChangeFailure} from './CatalogueChanges.ts';
export {checkCatalogue} from './CatalogueChecks.ts';
export type {CatalogueFault} from './CatalogueChecks.ts';
export {CatalogueConfirmer} from './CatalogueConfirmation.ts';
export type {Confirmation, DataCentreConfirmation} from './CatalogueConfirmation.ts';
export {listDifferences} from './CatalogueDiff.ts';
export type {DiffLine, PlansContent} from './CatalogueDiff.ts';
export {registerCatalogue} from './CatalogueFeature.ts';
export type {CatalogueFeature, CatalogueServices} from './CatalogueFeature.ts';
export {CatalogueKeys} from './CatalogueKeys.ts';
export {CatalogueSnapshot} from './CatalogueSnapshot.ts';
export type {CatalogueDelta} from './CatalogueSnapshot.ts';
export type {SnapshotSource} from './CatalogueState.ts';
export {CATALOGUE_CHANGED} from './CatalogueView.ts';
export type {CatalogueSource, CatalogueView} from './CatalogueView.ts';
