/**
 * Entry VMs that have gone from the platform's list: once listed, then missing from several reads
 * in a row. A VM that was never seen in the list, or that is listed as leaving, has not departed.
 */

import type {Instant, VmId} from '@nutmegproxy/core';
import type {VmReport} from '@nutmegproxy/schema';

import {DEPARTURE_MISSED_REPORTS, MAX_TRACKED_ENTRY_VMS} from './PlatformConstants.ts';

/** What the list says of entry VMs that are no longer in it. */
export interface VmDepartures {
  /**
   * Instant at which the entry VM `vm` with the IP number `host` was first found missing; undefined
   * while it is listed, was never seen listed, or is not yet missing from enough reads.
   */
  departedSince(vm: VmId, host: string): Instant | undefined;
}

interface SeenVm {
  missedReports: number;
  missingSince: Instant | undefined;
}

/** The IP number of an address with a port. */
function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

function toKey(vm: string, host: string): string {
  return `${vm} ${host}`;
}

/** Follows the reads of one process; the list's revisions never fall from one read to the next. */
export class DepartureTracker implements VmDepartures {
  #revision = -1;
  readonly #seen = new Map<string, SeenVm>();

  departedSince(vm: VmId, host: string): Instant | undefined {
    const seen = this.#seen.get(toKey(vm, host));
    return seen !== undefined && seen.missedReports >= DEPARTURE_MISSED_REPORTS
      ? seen.missingSince
      : undefined;
  }

  /** Takes in a successful read that arrived at `now`, also one that shows nothing new. */
  apply(report: VmReport, now: Instant): void {
    if (report.revision < this.#revision) {
      // The list goes back or has begun anew: what is missing from it proves nothing.
      this.#seen.clear();
    }
    this.#revision = report.revision;
    const listed = new Set(
      report.vms
        .filter(({role}) => role === 'entry')
        .map(({address, id}) => toKey(id, hostOf(address))),
    );
    for (const [key, seen] of this.#seen) {
      if (!listed.has(key)) {
        seen.missedReports += 1;
        seen.missingSince ??= now;
      }
    }
    for (const key of listed) {
      this.#seen.delete(key);
      this.#seen.set(key, {missedReports: 0, missingSince: undefined});
    }
    this.#trim();
  }

  /** Forgets those that were listed longest ago. */
  #trim(): void {
    for (const key of this.#seen.keys()) {
      if (this.#seen.size <= MAX_TRACKED_ENTRY_VMS) {
        return;
      }
      this.#seen.delete(key);
    }
  }
}
