/** What `GET /v1/status` shows of each feature. */

import type {SnapshotSource} from '@nutmegproxy/catalogue';

export interface CatalogueStatus {
  readonly change: string;
  readonly entries: number;
  readonly revision: number;
  readonly teams: number;
}

export function describeCatalogue(source: SnapshotSource): CatalogueStatus {
  const {entries, record, revision, teams} = source.current();
  return {change: record.change, entries: entries.size, revision, teams: teams.size};
}
