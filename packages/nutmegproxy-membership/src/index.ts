/** Public API of membership. */

export type {SlotLender} from './LentSlots.ts';
export type {Allotment, CellOwnership, Member, Membership, MinionShares} from './Membership.ts';
export {
  ALLOTMENT_CHANGED,
  CELL_ACQUIRED,
  CELL_LOST,
  CELL_RELEASE_WANTED,
  MEMBER_REMOVED,
  SHARE_RELEASE_WANTED,
  TENURE_GAINED,
  TENURE_LOST,
} from './MembershipCommands.ts';
export type {CellAcquisition, CellRelease, ShareRelease} from './MembershipCommands.ts';
export {MembershipNode} from './MembershipNode.ts';
export type {MembershipNodeOptions} from './MembershipNode.ts';
export type {MembershipPeriods, MembershipServices, VmSource} from './MembershipServices.ts';
export {DEFAULT_PERIODS, registerMembership} from './registerMembership.ts';
export type {MembershipOptions} from './registerMembership.ts';
export {registerSlotLoans} from './registerSlotLoans.ts';
export {computeConnectionShare} from './ShareTargets.ts';
export {SlotLoans} from './SlotLoans.ts';
export type {SlotLoansOptions} from './SlotLoans.ts';
