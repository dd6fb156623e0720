/** Builders of placement requests and workers for the placement tests. */

import type {AttemptId, EntryId, Instant, RackId, TeamId, WorkerId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';

import type {Placement, PlacementRequest, WorkerProfile} from '../../Placement.ts';

export const SIXTEEN_CORES = {accelerators: 0, cpu: 16, memoryMb: 60_000};

export function at(milliseconds: number): Instant {
  return milliseconds as Instant;
}

export function attemptOf(name: string): AttemptId {
  return brand<AttemptId>(name);
}

export function workerOf(name: string): WorkerId {
  return brand<WorkerId>(name);
}

export function makeRequest(
  name: string,
  changes: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    attempt: attemptOf(name),
    checkpointable: true,
    class: 'batch',
    declared: {accelerators: 0, cpu: 1, memoryMb: 1000},
    declaredRunTimeMs: 60_000,
    entry: brand<EntryId>('retouch'),
    queuedAt: at(0),
    team: brand<TeamId>('albarrada'),
    ...changes,
  };
}

export function makeLatencyCriticalRequest(
  name: string,
  changes: Partial<PlacementRequest> = {},
): PlacementRequest {
  return makeRequest(name, {
    class: 'latency-critical',
    entry: brand<EntryId>('alert'),
    team: brand<TeamId>('oportuna'),
    ...changes,
  });
}

export function makeWorker(name: string, changes: Partial<WorkerProfile> = {}): WorkerProfile {
  return {
    capacity: SIXTEEN_CORES,
    drained: false,
    id: workerOf(name),
    rack: brand<RackId>('rack-1'),
    ...changes,
  };
}

/** Runs enough attempts of the request's entry that the policy trusts the declared size. */
export function showSizes(placement: Placement, request: PlacementRequest, now: Instant): void {
  for (const index of [1, 2, 3]) {
    const attempt = attemptOf(`${request.entry}-sample-${index}`);
    const worker = makeWorker(`sampler-${index}`);
    placement.setWorker(worker, now);
    const placed = {
      ...request,
      attempt,
      reserved: request.declared,
      startedAt: now,
      worker: worker.id,
    };
    placement.adopt(placed, now);
    const usage = {at: 0, cpu: request.declared.cpu, memoryMb: request.declared.memoryMb};
    placement.observe({attempt, measuredAt: now, progress: 1, usage}, now);
    placement.release(attempt, 'evicted', now);
    placement.removeWorker(worker.id, now);
  }
}
