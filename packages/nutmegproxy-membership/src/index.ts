/** Public surface of membership. */

export type {Allotment, CellOwnership, Member, Membership, MinionShares} from './Membership.ts';
