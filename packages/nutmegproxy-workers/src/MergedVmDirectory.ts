/** The VM directory: the platform's VM list merged with the marks of leaving VMs. */

import type {EntryNode, Instant, VmId} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {LeavingMark, Vm, VmReport} from '@nutmegproxy/schema';

import {after} from '@nutmegproxy/core';

import type {LeavingSource, VmDirectory} from './VmDirectory.ts';

import {LeavingVms} from './LeavingVms.ts';
import {ListedVms} from './ListedVms.ts';
import {
  MARK_REBROADCAST_WINDOW_MS,
  MAX_LEAVING_MARKS,
  MAX_MARKS_PER_NOTICE,
} from './PlatformConstants.ts';
import {PLATFORM_EVENTS} from './PlatformEvents.ts';
import {VMS_CHANGED} from './VmDirectory.ts';

/** Type of the peer message that distributes marks. */
export const LEAVING_NOTICE = 'platform.leaving';

function toMark(vm: Vm): LeavingMark {
  return {address: vm.address, vm: vm.id};
}

export class MergedVmDirectory implements VmDirectory {
  readonly #listed = new ListedVms();
  readonly #marks: LeavingVms;
  readonly #mesh: PeerMesh;
  readonly #node: EntryNode;
  #vms: readonly Vm[] = [];
  #vmsById: ReadonlyMap<string, Vm> = new Map();

  constructor(node: EntryNode, mesh: PeerMesh, markCapacity = MAX_LEAVING_MARKS) {
    this.#node = node;
    this.#mesh = mesh;
    this.#marks = new LeavingVms(markCapacity);
  }

  markLeaving(vm: VmId, source: LeavingSource, now: Instant): void {
    const listed = this.#listed.get(vm);
    if (listed !== undefined) {
      this.addMarks([toMark(listed)], source, now);
    }
  }

  vm(id: VmId): undefined | Vm {
    return this.#vmsById.get(id);
  }

  vms(): readonly Vm[] {
    return this.#vms;
  }

  /** Adds marks, broadcasts the new ones unless a peer sent them, and rebuilds the directory. */
  addMarks(marks: readonly LeavingMark[], source: LeavingSource, now: Instant): void {
    const added = marks.filter((mark) => this.#marks.add(mark, now));
    if (added.length === 0) {
      return;
    }
    for (const mark of added) {
      const fields = {address: mark.address, source, vm: mark.vm};
      this.#node.events.record(PLATFORM_EVENTS.VM_LEAVING, fields);
    }
    this.#marks.trim((mark) => this.#listed.get(mark.vm)?.address === mark.address);
    if (source !== 'peer') {
      this.#broadcastMarks(added);
    }
    this.#merge();
  }

  /** Broadcasts recent marks again for peers that were partitioned when the marks were added. */
  rebroadcastMarks(now: Instant): void {
    const since = after(now, -MARK_REBROADCAST_WINDOW_MS);
    this.#broadcastMarks(this.#marks.addedSince(since, MAX_MARKS_PER_NOTICE));
  }

  applyReport(report: VmReport, now: Instant): void {
    const outcome = this.#listed.apply(report);
    if (outcome === 'older') {
      const fields = {revision: report.revision};
      this.#node.events.record(PLATFORM_EVENTS.VM_LIST_LOWER, fields);
    }
    if (outcome !== 'taken') {
      return;
    }
    const leaving = report.vms.filter(({state}) => state === 'leaving');
    this.addMarks(leaving.map(toMark), 'list', now);
    this.#merge();
  }

  #merge(): void {
    const joined = this.#listed
      .vms()
      .map((vm): Vm => (this.#marks.has(toMark(vm)) ? {...vm, state: 'leaving'} : vm));
    if (JSON.stringify(joined) === JSON.stringify(this.#vms)) {
      return;
    }
    this.#vms = joined;
    this.#vmsById = new Map(joined.map((vm) => [vm.id, vm]));
    this.#node.bus.dispatch(VMS_CHANGED, this);
  }

  #broadcastMarks(marks: readonly LeavingMark[]): void {
    for (let start = 0; start < marks.length; start += MAX_MARKS_PER_NOTICE) {
      const body = {marks: marks.slice(start, start + MAX_MARKS_PER_NOTICE)};
      this.#mesh.broadcast({body, type: LEAVING_NOTICE});
    }
  }
}
