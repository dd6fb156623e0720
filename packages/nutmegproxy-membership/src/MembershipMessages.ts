/** Messages between the members of a data centre, and what answers them. */

import type {IncarnationId, NodeIdentity, Unregister} from '@nutmegproxy/core';
import type {LeaseId} from '@nutmegproxy/store';

import {brand, mergeUnregister} from '@nutmegproxy/core';
import {
  validateDenyRequest,
  validateRecordNotice,
  validateRelayRequest,
  validateVouchRequest,
} from '@nutmegproxy/schema';

import type {MembershipParts} from './MembershipServices.ts';

import {MEMBERSHIP_EVENTS} from './MembershipEvents.ts';

export const MESSAGE_TYPES = {
  deny: 'membership/deny',
  recordNotice: 'membership/record',
  relay: 'membership/relay',
  vouch: 'membership/vouch',
} as const;

function answerVouch(parts: MembershipParts, body: unknown, from: NodeIdentity): unknown {
  const now = parts.now();
  // A process that holds no tenure, or knows of no such member, may not keep another one going.
  const vouched =
    validateVouchRequest(body) &&
    body.incarnation === from.incarnation &&
    parts.state.holds(now) &&
    parts.view.hasMember(from.incarnation) &&
    parts.book.vouch(from.incarnation, now);
  return {vouched};
}

/** Denies a member of the record, as the answer to a peer or for this process itself. */
export function denyMember(parts: MembershipParts, incarnation: string): boolean {
  const member = brand<IncarnationId>(incarnation);
  const before = parts.book.denies(member);
  const denied = parts.view.hasMember(member) && parts.book.deny(member, parts.now());
  if (denied && !before) {
    parts.node.events.record(MEMBERSHIP_EVENTS.DENIED, {incarnation});
  }
  return denied;
}

async function answerRelay(parts: MembershipParts, body: unknown): Promise<unknown> {
  if (!validateRelayRequest(body)) {
    return {renewed: false};
  }
  const answer = await parts.store.keepLeaseAlive(brand<LeaseId>(body.lease));
  const neededSeconds = parts.periods.tenureTtlMs / 1_000;
  return {renewed: answer.isOk() && answer.value.ttlSeconds >= neededSeconds};
}

/** Registers the answers; `onNotice` hears of record revisions that peers have seen. */
export function registerMembershipMessages(
  parts: MembershipParts,
  onNotice: (modRevision: number) => void,
): Unregister {
  const {mesh, node} = parts;
  const isNear = (from: NodeIdentity) => from.dataCentre === node.identity.dataCentre;
  return mergeUnregister(
    mesh.registerHandler(
      MESSAGE_TYPES.vouch,
      (body, from) => answerVouch(parts, body, from),
      validateVouchRequest,
    ),
    mesh.registerHandler(
      MESSAGE_TYPES.deny,
      (body, from) => ({
        denied: isNear(from) && validateDenyRequest(body) && denyMember(parts, body.incarnation),
      }),
      validateDenyRequest,
    ),
    mesh.registerHandler(
      MESSAGE_TYPES.relay,
      (body, from) => (isNear(from) ? answerRelay(parts, body) : {renewed: false}),
      validateRelayRequest,
    ),
    mesh.registerHandler(
      MESSAGE_TYPES.recordNotice,
      (body, from) => {
        if (isNear(from) && validateRecordNotice(body)) {
          onNotice(body.modRevision);
        }
      },
      validateRecordNotice,
    ),
  );
}
