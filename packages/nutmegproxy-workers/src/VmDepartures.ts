/**
 * Entry VMs that departed: they were in the platform's VM list and then missing from several
 * consecutive reads. A VM that was never listed, or that is listed as leaving, has not departed.
 */

import type {Instant, VmId} from '@nutmegproxy/core';
import type {VmReport} from '@nutmegproxy/schema';

import {DEPARTURE_MISSED_REPORTS, MAX_TRACKED_ENTRY_VMS} from './PlatformConstants.ts';

/** Reports the entry VMs that are no longer in the VM list. */
export interface VmDepartures {
  /**
   * Returns the instant at which the entry VM `vm` with the IP address `host` was first missing;
   * undefined if it is listed, was never listed, or is not yet missing from enough reads.
   */
  departedSince(vm: VmId, host: string): Instant | undefined;
}

interface SeenVm {
  missedReports: number;
  missingSince: Instant | undefined;
}

/** Returns the IP address of an address with a port. */
function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

function toKey(vm: string, host: string): string {
  return `${vm} ${host}`;
}

/** Tracks the reads of one process; a read with a lower revision discards what was tracked. */
export class DepartureTracker implements VmDepartures {
  #revision = -1;
  readonly #seen = new Map<string, SeenVm>();

  departedSince(vm: VmId, host: string): Instant | undefined {
    const seen = this.#seen.get(toKey(vm, host));
    return seen !== undefined && seen.missedReports >= DEPARTURE_MISSED_REPORTS
      ? seen.missingSince
      : undefined;
  }

  /** Applies a successful read received at `now`; call it also if the list is unchanged. */
  apply(report: VmReport, now: Instant): void {
    if (report.revision < this.#revision) {
      // The list is outdated or was reset, so a VM that is missing from it may still exist.
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

  /** Removes the entry VMs that were listed longest ago. */
  #trim(): void {
    for (const key of this.#seen.keys()) {
      if (this.#seen.size <= MAX_TRACKED_ENTRY_VMS) {
        return;
      }
      this.#seen.delete(key);
    }
  }
}
