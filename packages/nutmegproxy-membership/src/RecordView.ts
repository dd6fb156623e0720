/** The newest reading of the record, and since when this process has observed its conditions. */

import type {IncarnationId, Instant} from '@nutmegproxy/core';
import type {AllotmentRecord} from '@nutmegproxy/schema';

import {after, brand} from '@nutmegproxy/core';

import type {RecordReading} from './RecordStore.ts';

import {EMPTY_RECORD, getMemberIds} from './AllotmentRecordUtils.ts';

/** Records since when each item has been observed without interruption. */
class ObservationTimes {
  readonly #since = new Map<string, Instant>();

  /** Whether `item` has been observed for at least `periodMs`. */
  hasLasted(item: string, periodMs: number, now: Instant): boolean {
    const since = this.#since.get(item);
    return since !== undefined && now >= after(since, periodMs);
  }

  update(items: ReadonlySet<string>, now: Instant): void {
    for (const item of [...this.#since.keys()].filter((each) => !items.has(each))) {
      this.#since.delete(item);
    }
    for (const item of items) {
      if (!this.#since.has(item)) {
        this.#since.set(item, now);
      }
    }
  }
}

export class RecordView {
  /** Electors of any member that are no longer members themselves. */
  readonly absentElectors = new ObservationTimes();
  /** Members without a tenure key. */
  readonly membersWithoutTenure = new ObservationTimes();
  /** Removed members whose slots are reclaimed. */
  readonly reclaimedMembers = new ObservationTimes();
  #reading: RecordReading = {modRevision: 0, record: EMPTY_RECORD, tenures: new Map()};

  get reading(): RecordReading {
    return this.#reading;
  }

  get record(): AllotmentRecord {
    return this.#reading.record;
  }

  /** Applies a reading that arrived at `now`; ignores one older than the newest. */
  update(reading: RecordReading, now: Instant): void {
    if (reading.modRevision < this.#reading.modRevision) {
      return;
    }
    this.#reading = reading;
    const members = getMemberIds(reading.record);
    const electors = reading.record.members.flatMap((member) => member.electors);
    this.absentElectors.update(new Set(electors.filter((each) => !members.has(brand(each)))), now);
    this.membersWithoutTenure.update(
      new Set([...members].filter((each) => !reading.tenures.has(each))),
      now,
    );
    this.reclaimedMembers.update(
      new Set(reading.record.reclaimed.map(({incarnation}) => incarnation)),
      now,
    );
  }

  hasMember(incarnation: IncarnationId): boolean {
    return this.record.members.some((member) => member.incarnation === incarnation);
  }
}
