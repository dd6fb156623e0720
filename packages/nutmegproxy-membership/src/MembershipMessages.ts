/** Messages between the members of a data centre, and their handlers. */

import type {IncarnationId, NodeIdentity, Unregister} from '@nutmegproxy/core';
import type {LeaseId} from '@nutmegproxy/store';

import {brand, mergeUnregister} from '@nutmegproxy/core';
import {
  validateDenyRequest,
  validateRecordNotice,
  validateRelayRequest,
  validateVouchRequest,
} from '@nutmegproxy/schema';

import type {MembershipContext} from './MembershipServices.ts';

import {MEMBERSHIP_EVENTS} from './MembershipEvents.ts';

export const MESSAGE_TYPES = {
  deny: 'membership/deny',
  recordNotice: 'membership/record',
  relay: 'membership/relay',
  vouch: 'membership/vouch',
} as const;

function handleVouchRequest(
  context: MembershipContext,
  body: unknown,
  from: NodeIdentity,
): unknown {
  const now = context.now();
  // A process may vouch only with tenure of its own, and only for a member in the record.
  const vouched =
    validateVouchRequest(body) &&
    body.incarnation === from.incarnation &&
    context.state.holdsTenure(now) &&
    context.view.hasMember(from.incarnation) &&
    context.vouchRegistry.vouch(from.incarnation, now);
  return {vouched};
}

/** Denies a member of the record for a peer or for this process; returns whether it is denied. */
export function denyMember(context: MembershipContext, incarnation: string): boolean {
  const member = brand<IncarnationId>(incarnation);
  const wasDenied = context.vouchRegistry.isDenied(member);
  const isDenied =
    context.view.hasMember(member) && context.vouchRegistry.deny(member, context.now());
  if (isDenied && !wasDenied) {
    context.node.events.record(MEMBERSHIP_EVENTS.DENIED, {incarnation});
  }
  return isDenied;
}

async function handleRelayRequest(context: MembershipContext, body: unknown): Promise<unknown> {
  if (!validateRelayRequest(body)) {
    return {renewed: false};
  }
  const response = await context.store.keepLeaseAlive(brand<LeaseId>(body.lease));
  const requiredSeconds = context.periods.tenureTtlMs / 1_000;
  return {renewed: response.isOk() && response.value.ttlSeconds >= requiredSeconds};
}

/** Registers the handlers; `onNotice` receives the record revisions that peers announce. */
export function registerMembershipMessages(
  context: MembershipContext,
  onNotice: (modRevision: number) => void,
): Unregister {
  const {mesh, node} = context;
  const isLocal = (from: NodeIdentity) => from.dataCentre === node.identity.dataCentre;
  return mergeUnregister(
    mesh.registerHandler(
      MESSAGE_TYPES.vouch,
      (body, from) => handleVouchRequest(context, body, from),
      validateVouchRequest,
    ),
    mesh.registerHandler(
      MESSAGE_TYPES.deny,
      (body, from) => ({
        denied: isLocal(from) && validateDenyRequest(body) && denyMember(context, body.incarnation),
      }),
      validateDenyRequest,
    ),
    mesh.registerHandler(
      MESSAGE_TYPES.relay,
      (body, from) => (isLocal(from) ? handleRelayRequest(context, body) : {renewed: false}),
      validateRelayRequest,
    ),
    mesh.registerHandler(
      MESSAGE_TYPES.recordNotice,
      (body, from) => {
        if (isLocal(from) && validateRecordNotice(body)) {
          onNotice(body.modRevision);
        }
      },
      validateRecordNotice,
    ),
  );
}
