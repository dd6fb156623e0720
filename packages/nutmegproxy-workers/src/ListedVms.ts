/** The VMs of the platform's list, kept stable while the list is incomplete or outdated. */

import type {Vm, VmReport} from '@nutmegproxy/schema';

import {LOWER_REVISION_REPORTS, REMOVAL_MISSED_REPORTS} from './PlatformConstants.ts';

interface ListedVm {
  readonly missedReports: number;
  readonly vm: Vm;
}

/**
 * `older`: the report was ignored, as its revision is lower than an earlier one. `same`: the report
 * contains no change. `taken`: the report was applied.
 */
export type ReportOutcome = 'older' | 'same' | 'taken';

export class ListedVms {
  #listed = new Map<string, ListedVm>();
  #lastReport: undefined | VmReport;
  #lowerRevisionReports = 0;
  #revision = -1;
  #hasMissing = false;

  get(id: string): undefined | Vm {
    return this.#listed.get(id)?.vm;
  }

  /** Applies a report; a VM is removed after it was missing from several consecutive reports. */
  apply(report: VmReport): ReportOutcome {
    if (this.#isOlder(report)) {
      return 'older';
    }
    if (report === this.#lastReport && !this.#hasMissing) {
      return 'same';
    }
    this.#lastReport = report;
    this.#revision = report.revision;
    this.#lowerRevisionReports = 0;
    const next = new Map<string, ListedVm>();
    for (const [id, {missedReports, vm}] of this.#listed) {
      if (missedReports + 1 < REMOVAL_MISSED_REPORTS) {
        next.set(id, {missedReports: missedReports + 1, vm});
      }
    }
    for (const vm of report.vms) {
      next.set(vm.id, {missedReports: 0, vm});
    }
    this.#listed = next;
    this.#hasMissing = next.size > report.vms.length;
    return 'taken';
  }

  vms(): readonly Vm[] {
    return [...this.#listed.values()].map(({vm}) => vm);
  }

  #isOlder(report: VmReport): boolean {
    if (report.revision >= this.#revision) {
      return false;
    }
    this.#lowerRevisionReports += 1;
    return this.#lowerRevisionReports < LOWER_REVISION_REPORTS;
  }
}
