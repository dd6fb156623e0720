/** Functions that several parts of the owner share. */

import type {Clock, EventFields, Instant} from '@nutmegproxy/core';
import type {Resources, TaskRef} from '@nutmegproxy/jobs';
import type {PlatformStore, StoreFailure} from '@nutmegproxy/store';
import type {Result} from 'neverthrow';

import {after, delay} from '@nutmegproxy/core';
import {formatOwnerKey} from '@nutmegproxy/jobs';
import {getKey} from '@nutmegproxy/store';

import type {FleetOwnership} from './FleetOwnership.ts';

import {
  MAX_BUSY_PLAN_PAUSE_MS,
  MAX_PLAN_IDLE_MS,
  MAX_PLAN_PAUSE_MS,
  MIN_PLAN_PAUSE_MS,
  PLAN_PAUSE_RATIO,
} from './OwnerConstants.ts';

/** Returns a write condition that fails once another VM has acquired the ownership. */
export function createFencingCondition(ownership: FleetOwnership): {
  key: string;
  kind: 'modRevision';
  modRevision: number;
} {
  const key = formatOwnerKey(ownership.cell);
  return {key, kind: 'modRevision', modRevision: ownership.token};
}

/** Whether the store still holds the key of this ownership. */
export async function isOwnedBy(
  store: PlatformStore,
  ownership: FleetOwnership,
): Promise<Result<boolean, StoreFailure>> {
  const owner = await getKey(store, formatOwnerKey(ownership.cell));
  return owner.map((stored) => stored?.modRevision === ownership.token);
}

/**
 * Returns the pause after a round of planning, in milliseconds. It grows with the round, since long
 * rounds in a large fleet would otherwise delay the sending of the orders that they decide on; the more
 * so while other work waits for the event loop.
 *
 * @example
 * choosePlanPause(5, {hasOtherWork: false}); // 20
 */
export function choosePlanPause(
  roundMs: number,
  {hasOtherWork}: {readonly hasOtherWork: boolean},
): number {
  const longestMs = hasOtherWork ? MAX_BUSY_PLAN_PAUSE_MS : MAX_PLAN_PAUSE_MS;
  return Math.min(longestMs, Math.max(MIN_PLAN_PAUSE_MS, roundMs * PLAN_PAUSE_RATIO));
}

/**
 * Returns the time in milliseconds for which a change is waited for after the pause, before the next round. The
 * longest time from a round to the next is the same for all pauses.
 *
 * @example
 * choosePlanIdle(20); // 250
 */
export function choosePlanIdle(pauseMs: number): number {
  return Math.min(MAX_PLAN_IDLE_MS, MAX_PLAN_PAUSE_MS + MAX_PLAN_IDLE_MS - pauseMs);
}

/**
 * Returns the end of a stored duration in milliseconds that counts from `since`; undefined when none is known.
 *
 * @example
 * findEnd(1_000 as Instant, 500); // 1500
 */
export function findEnd(since: Instant, durationMs: unknown): Instant | undefined {
  return typeof durationMs === 'number' ? after(since, durationMs) : undefined;
}

/**
 * Returns a function that says whether `limitMs` milliseconds, or a share of them, have passed since its first call.
 *
 * @example
 * const isTimeUp = createTimeLimit(clock, 60);
 */
export function createTimeLimit(clock: Clock, limitMs: number): (share?: number) => boolean {
  let startedAt: Instant | undefined;
  return (share = 1) => {
    const now = clock.monotonic();
    startedAt ??= now;
    return now - startedAt >= limitMs * share;
  };
}

/** Whether two references name the same task. */
export function isSameTask(a: TaskRef, b: TaskRef): boolean {
  return (
    a.job === b.job && a.occurrence === b.occurrence && a.step === b.step && a.index === b.index
  );
}

/**
 * Returns the event fields of a change of a minion's capacity; undefined when it has not changed.
 *
 * @example
 * const none = {cpuMilli: 0, gpus: 0, memoryMb: 0};
 * describeCapacityChange(none, none); // undefined
 */
export function describeCapacityChange(
  former: Resources,
  {cpuMilli, gpus, memoryMb}: Resources,
): EventFields | undefined {
  const isSame =
    former.cpuMilli === cpuMilli && former.gpus === gpus && former.memoryMb === memoryMb;
  return isSame
    ? undefined
    : {
        cpuMilli,
        formerCpuMilli: former.cpuMilli,
        formerGpus: former.gpus,
        formerMemoryMb: former.memoryMb,
        gpus,
        memoryMb,
      };
}

/** Waits until a key has changed since a revision of the store, at most for the given time. */
export async function awaitChange(
  store: PlatformStore,
  key: string,
  revision: number,
  timeoutMs: number,
): Promise<void> {
  let onChange = (): void => undefined;
  const changed = new Promise<void>((resolve) => {
    onChange = resolve;
  });
  const watch = store.watch(key, revision + 1, {
    // The caller reads the key again after the time.
    onBroken: () => undefined,
    onEvents: () => {
      onChange();
    },
  });
  await Promise.race([changed, delay(timeoutMs)]);
  watch.close();
}
