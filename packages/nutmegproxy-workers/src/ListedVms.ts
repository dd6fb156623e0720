/** The VMs of the platform's list, kept steady while the list errs or goes back. */

import type {Vm, VmReport} from '@nutmegproxy/schema';

import {ABSENT_REPORTS, LOWER_REVISION_REPORTS} from './PlatformConstants.ts';

interface ListedVm {
  readonly missedReports: number;
  readonly vm: Vm;
}

/**
 * `older`: the report was set aside, as its revision is lower than one seen before. `same`: nothing is
 * new in it.
 */
export type ReportOutcome = 'older' | 'same' | 'taken';

export class ListedVms {
  #listed = new Map<string, ListedVm>();
  #last: undefined | VmReport;
  #lowerReports = 0;
  #revision = -1;
  #someMissing = false;

  get(id: string): undefined | Vm {
    return this.#listed.get(id)?.vm;
  }

  /** Takes a report in; a VM goes only after it was missing from several in a row. */
  take(report: VmReport): ReportOutcome {
    if (this.#isOlder(report)) {
      return 'older';
    }
    if (report === this.#last && !this.#someMissing) {
      return 'same';
    }
    this.#last = report;
    this.#revision = report.revision;
    this.#lowerReports = 0;
    const next = new Map<string, ListedVm>();
    for (const [id, {missedReports, vm}] of this.#listed) {
      if (missedReports + 1 < ABSENT_REPORTS) {
        next.set(id, {missedReports: missedReports + 1, vm});
      }
    }
    for (const vm of report.vms) {
      next.set(vm.id, {missedReports: 0, vm});
    }
    this.#listed = next;
    this.#someMissing = next.size > report.vms.length;
    return 'taken';
  }

  vms(): readonly Vm[] {
    return [...this.#listed.values()].map(({vm}) => vm);
  }

  #isOlder(report: VmReport): boolean {
    if (report.revision >= this.#revision) {
      return false;
    }
    this.#lowerReports += 1;
    return this.#lowerReports < LOWER_REVISION_REPORTS;
  }
}
