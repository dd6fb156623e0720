/** Registers the VM directory: polls the VM list and exchanges marks of leaving VMs with peers. */

import type {EntryNode, Instant, Unregister} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {LeavingNotice, VmReport} from '@nutmegproxy/schema';

import {mergeUnregister} from '@nutmegproxy/core';
import {validateLeavingNotice} from '@nutmegproxy/schema';
import {setTimeout as sleep} from 'node:timers/promises';
import {Counter, Gauge} from 'prom-client';

import type {VmDepartures} from './VmDepartures.ts';
import type {VmDirectory} from './VmDirectory.ts';
import type {PlatformFailure, VmList} from './VmList.ts';

import {LEAVING_NOTICE, MergedVmDirectory} from './MergedVmDirectory.ts';
import {MARK_REBROADCAST_INTERVAL_MS} from './PlatformConstants.ts';
import {PLATFORM_EVENTS} from './PlatformEvents.ts';
import {DepartureTracker} from './VmDepartures.ts';

/** Dependencies of the feature. */
export interface VmDirectoryServices {
  readonly mesh: PeerMesh;
  readonly pollMs: number;
  readonly vmList: VmList;
}

/** A directory that is kept up to date until `unregister` is called. */
export interface VmDirectoryRegistration {
  readonly departures: VmDepartures;
  readonly directory: VmDirectory;
  readonly unregister: Unregister;
}

function registerMetrics(node: EntryNode, directory: VmDirectory): Counter<'outcome'> {
  new Gauge({
    collect() {
      this.reset();
      for (const {role, state} of directory.vms()) {
        this.inc({role, state});
      }
    },
    help: 'VMs in the directory by role and state.',
    labelNames: ['role', 'state'],
    name: 'nutmegproxy_platform_vms',
    registers: [node.metrics],
  });
  return new Counter({
    help: 'Reads of the list of VMs by outcome.',
    labelNames: ['outcome'],
    name: 'nutmegproxy_platform_vm_list_reads_total',
    registers: [node.metrics],
  });
}

/** Runs `step` repeatedly, `pauseMs` apart, until the returned function is called. */
function repeat(step: () => Promise<void> | void, pauseMs: number): Unregister {
  const aborter = new AbortController();
  const run = async (): Promise<void> => {
    while (!aborter.signal.aborted) {
      await step();
      await sleep(pauseMs, undefined, {signal: aborter.signal}).catch(() => undefined);
    }
  };
  void run();
  return () => {
    aborter.abort();
  };
}

function createPoll(
  node: EntryNode,
  vmList: VmList,
  applyReport: (report: VmReport, now: Instant) => void,
  directory: VmDirectory,
) {
  const reads = registerMetrics(node, directory);
  let healthy = true;
  const recordFailure = (failure: PlatformFailure): void => {
    reads.inc({outcome: failure.kind});
    if (healthy) {
      healthy = false;
      const {kind, message} = failure;
      node.events.record(PLATFORM_EVENTS.VM_LIST_FAILED, {kind, message});
    }
  };
  return async (): Promise<void> => {
    const report = await vmList.read();
    if (report.isErr()) {
      recordFailure(report.error);
      return;
    }
    reads.inc({outcome: 'ok'});
    if (!healthy) {
      healthy = true;
      node.events.record(PLATFORM_EVENTS.VM_LIST_RECOVERED, {});
    }
    applyReport(report.value, node.clock.monotonic());
  };
}

/**
 * Maintains a VM directory: the platform's list merged with marks of leaving VMs, which peers
 * exchange with one another.
 *
 * @example
 * const {directory, unregister} = registerVmDirectory(node, {mesh, pollMs: 1_000, vmList});
 */
export function registerVmDirectory(
  node: EntryNode,
  {mesh, pollMs, vmList}: VmDirectoryServices,
): VmDirectoryRegistration {
  const departures = new DepartureTracker();
  const directory = new MergedVmDirectory(node, mesh);
  const stopHandling = mesh.registerHandler(
    LEAVING_NOTICE,
    (body, _from, now) => {
      directory.addMarks((body as LeavingNotice).marks, 'peer', now);
    },
    validateLeavingNotice,
  );
  const applyReport = (report: VmReport, now: Instant): void => {
    departures.apply(report, now);
    directory.applyReport(report, now);
  };
  const stopPolling = repeat(createPoll(node, vmList, applyReport, directory), pollMs);
  const stopRepeating = repeat(() => {
    directory.rebroadcastMarks(node.clock.monotonic());
  }, MARK_REBROADCAST_INTERVAL_MS);
  const unregister = mergeUnregister(stopHandling, stopPolling, stopRepeating);
  return {departures, directory, unregister};
}
