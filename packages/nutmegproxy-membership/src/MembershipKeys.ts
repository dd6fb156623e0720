/** Store keys of membership. */

import type {CellId, DataCentreId, IncarnationId} from '@nutmegproxy/core';

/** Builds the keys of one data centre under the given prefix. */
export class MembershipKeys {
  readonly #root: string;

  constructor(prefix: string, dataCentre: DataCentreId) {
    this.#root = `${prefix}/dc/${dataCentre}`;
  }

  allotment(): string {
    return `${this.#root}/allotment`;
  }

  cellOwner(cell: CellId): string {
    return `${this.#root}/cell/${cell}/owner`;
  }

  /** One key per incarnation, so that a restarted process need not wait for its old lease. */
  tenure(incarnation: IncarnationId): string {
    return `${this.tenurePrefix()}${incarnation}`;
  }

  tenurePrefix(): string {
    return `${this.#root}/tenure/`;
  }
}
