/**
 * Lets a VM that stops own the fleet until another VM can acquire the ownership and it has finished what that one would
 * begin anew. Where all VMs are restarted one after the other, the next one may still be starting when the owner is
 * stopped, and each one is stopped soon after its takeover.
 */

import type {Clock, EventSink, Instant} from '@nutmegproxy/core';
import type {CellCandidates} from '@nutmegproxy/owner';

import {delay} from '@nutmegproxy/core';

import type {VmRegistry} from './VmRegistry.ts';

import {MAX_SETTLE_MS, SUCCESSOR_CHECK_INTERVAL_MS} from './EntryConstants.ts';
import {ENTRY_EVENTS} from './EntryEvents.ts';

export interface HandoverOptions {
  readonly candidates: Pick<CellCandidates, 'isOwner' | 'mayHandOver' | 'stop' | 'windDown'>;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly vms: Pick<VmRegistry, 'hasSuccessor' | 'refresh'>;
}

/** Why the ownership is given up. */
type HandoverReason = 'another VM can own' | 'not owner' | 'not settled' | 'too late';

async function awaitSuccessor(
  {candidates, clock, vms}: HandoverOptions,
  deadline: Instant,
): Promise<HandoverReason> {
  const settledBy = Math.min(deadline, clock.monotonic() + MAX_SETTLE_MS);
  while (candidates.isOwner) {
    // The list of the last read may name VMs that have been stopped since.
    await Promise.race([vms.refresh(), delay(SUCCESSOR_CHECK_INTERVAL_MS)]);
    if (vms.hasSuccessor) {
      // The next owner would not know whether what is started now has arrived, nor count it if it crashes its minion.
      candidates.windDown();
    }
    if (vms.hasSuccessor && candidates.mayHandOver) {
      return 'another VM can own';
    }
    const now = clock.monotonic();
    if (now >= deadline) {
      return 'too late';
    }
    if (vms.hasSuccessor && now >= settledBy) {
      return 'not settled';
    }
    await delay(SUCCESSOR_CHECK_INTERVAL_MS);
  }
  return 'not owner';
}

/** Gives up what this VM owns once another one can acquire it, or when the deadline has passed. */
export async function handOver(options: HandoverOptions, deadline: Instant): Promise<void> {
  const {candidates, clock, events} = options;
  const startedAt = clock.monotonic();
  const reason = await awaitSuccessor(options, deadline);
  if (reason !== 'not owner') {
    const waitedMs = Math.round(clock.monotonic() - startedAt);
    events.record(ENTRY_EVENTS.SUCCESSOR_AWAITED, {reason, waitedMs});
  }
  await candidates.stop();
}
