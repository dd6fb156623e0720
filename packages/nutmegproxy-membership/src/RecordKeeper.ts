/** Keeps this process in the record, and the record in step with members, minions and cells. */

import type {IncarnationId} from '@nutmegproxy/core';
import type {AllotmentRecord, MemberRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';
import {isDeepStrictEqual} from 'node:util';

import type {MembershipParts} from './MembershipServices.ts';
import type {PlanInputs} from './RecordPlan.ts';
import type {PollNeeds} from './RecordPolling.ts';
import type {ChangeOutcome, RecordChange, RecordReading} from './RecordStore.ts';
import type {MinionCapacity} from './SharePlan.ts';
import type {TenureKeeper} from './TenureKeeper.ts';

import {findMember, shareOf, withoutMember} from './AllotmentRecordUtils.ts';
import {chooseSurplus} from './CellPlan.ts';
import {MEMBERSHIP_EVENTS} from './MembershipEvents.ts';
import {MESSAGE_TYPES} from './MembershipMessages.ts';
import {listElectors, planRecord} from './RecordPlan.ts';
import {ReleaseBook} from './ReleaseBook.ts';
import {chooseSurplusShares, indexCapacities} from './SharePlan.ts';
import {Takeover} from './Takeover.ts';
import {lengthen} from './TenureState.ts';

/** Electors that may be in the record after a write whose outcome is not known. */
interface PendingElectors {
  readonly electors: readonly IncarnationId[];
  readonly modRevision: number;
}

export class RecordKeeper {
  readonly releases: ReleaseBook;
  removals = 0;
  #joined = false;
  #leaving = false;
  #left = false;
  readonly #parts: MembershipParts;
  #pending: PendingElectors | undefined;
  /** Whether the event of a refused join has been recorded. */
  #refused = false;
  readonly #takeover: Takeover;
  readonly #tenure: TenureKeeper;

  constructor(parts: MembershipParts, tenure: TenureKeeper) {
    this.#parts = parts;
    this.#takeover = new Takeover(parts);
    this.#tenure = tenure;
    this.releases = new ReleaseBook(parts.node.bus);
  }

  /** Whether this process has left, as planned or not, and never comes back. */
  get ended(): boolean {
    return this.#left;
  }

  /** What the interval until the next step depends on. */
  get pollNeeds(): PollNeeds {
    const {node, view} = this.#parts;
    const {members, reclaimed} = view.record;
    const settled =
      view.hasMember(node.identity.incarnation) &&
      this.#tenure.hasLease() &&
      members.every(({incarnation}) => view.reading.tenures.has(brand(incarnation))) &&
      reclaimed.length === 0 &&
      !this.releases.isPending();
    return {members: members.length, urgent: !settled || this.#leaving};
  }

  /** Begins a planned stop: shares and cells are given up from the next step on. */
  leave(): void {
    this.#leaving = true;
  }

  /** Reads the record and does what is due. */
  async step(): Promise<void> {
    const reading = await this.#parts.recordStore.read(this.#parts.view.reading);
    if (this.#left) {
      return;
    }
    if (reading.isErr()) {
      if (reading.error === 'invalid') {
        this.#parts.node.events.record(MEMBERSHIP_EVENTS.RECORD_INVALID, {});
      }
      return;
    }
    this.#adopt(reading.value);
    await this.#act(this.#parts.view.reading);
  }

  #adopt(reading: RecordReading): void {
    const {mesh, node, state, view} = this.#parts;
    view.adopt(reading, this.#parts.now());
    const {modRevision, record} = view.reading;
    if (this.#pending !== undefined && modRevision > this.#pending.modRevision) {
      this.#pending = undefined;
    }
    const own = findMember(record, node.identity.incarnation);
    this.#joined ||= own !== undefined;
    state.setElectors(this.#electorSets(own));
    this.#parts.book.keepOnly(new Set(record.members.map((each) => brand(each.incarnation))));
    this.releases.settle(
      (minion) => this.#recordedShare(minion),
      (cell) => this.#ownedEpoch(cell),
    );
    const addresses = record.members.map(({peerAddress}) => peerAddress);
    mesh.setTargets(addresses.filter((each) => each !== this.#parts.peerAddress));
  }

  async #act(reading: RecordReading): Promise<void> {
    const {node, state} = this.#parts;
    const own = findMember(reading.record, node.identity.incarnation);
    if (own === undefined) {
      await (this.#joined ? this.#end() : this.#join(reading));
      return;
    }
    if (!this.#tenure.hasLease()) {
      await this.#tenure.regain(reading);
    }
    if (state.holdsLease(this.#parts.now())) {
      await this.#maintain(reading);
    }
  }

  async #change(change: RecordChange): Promise<ChangeOutcome> {
    const outcome = await this.#parts.recordStore.change(change);
    if (outcome === 'committed') {
      // A lower bound of the new revision, which is enough to tell the peers to read.
      const modRevision = change.from.modRevision + 1;
      this.#parts.mesh.broadcast({body: {modRevision}, type: MESSAGE_TYPES.recordNotice});
    }
    return outcome;
  }

  #electorSets(own: MemberRecord | undefined): readonly (readonly IncarnationId[])[] {
    const recorded = own?.electors.map((each) => brand<IncarnationId>(each));
    return [recorded, this.#pending?.electors].filter((set) => set !== undefined);
  }

  /** The record no longer names this process, after it once did. */
  async #end(): Promise<void> {
    this.#left = true;
    this.#parts.state.remove(this.#parts.now());
    this.#parts.node.events.record(
      this.#leaving ? MEMBERSHIP_EVENTS.LEFT : MEMBERSHIP_EVENTS.REMOVED,
      {},
    );
    await this.#tenure.revoke();
  }

  async #join(reading: RecordReading): Promise<void> {
    if (this.#leaving) {
      this.#left = true;
      return;
    }
    const others = this.#withoutPredecessor(reading.record);
    if (!this.#sharesPeriods(others)) {
      return;
    }
    const granted = await this.#tenure.grant();
    if (granted === undefined) {
      return;
    }
    const to = this.#withOwn(others);
    const tenure = {lease: granted.lease, record: this.#tenure.describe()};
    const outcome = await this.#change({from: reading, tenure, to});
    if (outcome === 'committed') {
      this.#joined = true;
      this.#tenure.attach(granted.lease, granted.sent);
      this.#parts.node.events.record(MEMBERSHIP_EVENTS.JOINED, {});
      await this.step();
    }
  }

  async #maintain(reading: RecordReading): Promise<void> {
    const {node, view} = this.#parts;
    const own = node.identity.incarnation;
    this.#releaseSurplus(reading.record);
    const removable = await this.#takeover.findRemovable();
    const to = planRecord(reading.record, this.#planInputs(removable));
    if (to === undefined || view.reading.modRevision !== reading.modRevision) {
      return;
    }
    if (findMember(to, own) === undefined) {
      this.#parts.book.stop();
    }
    this.#pending = {
      electors: listElectors(to).map((each) => brand(each)),
      modRevision: reading.modRevision,
    };
    this.#parts.state.setElectors(this.#electorSets(findMember(reading.record, own)));
    const outcome = await this.#change({from: reading, gone: removable, to});
    if (outcome === 'conflict' || outcome === 'failed') {
      this.#pending = undefined;
      return;
    }
    if (outcome === 'committed') {
      for (const incarnation of removable) {
        this.removals += 1;
        node.events.record(MEMBERSHIP_EVENTS.MEMBER_REMOVED, {incarnation});
      }
      await this.#readAgain();
    }
  }

  #capacities(): readonly MinionCapacity[] {
    return this.#near()
      .filter(({role, state}) => role === 'minion' && state === 'live')
      .map(({id, slots = 0}) => ({minion: id, slots}));
  }

  #cells(): readonly string[] {
    const racks = this.#near()
      .filter(({role}) => role === 'worker')
      .map(({rack}) => rack)
      .filter((rack) => rack !== undefined);
    return [...new Set(racks)].sort();
  }

  #near() {
    const {dataCentre} = this.#parts.node.identity;
    return this.#parts.directory.vms().filter((vm) => vm.dataCentre === dataCentre);
  }

  #ownedEpoch(cell: string): number | undefined {
    const own = this.#parts.node.identity.incarnation;
    return this.#parts.view.record.cells.find((each) => each.cell === cell && each.owner === own)
      ?.epoch;
  }

  #planInputs(removable: readonly IncarnationId[]): PlanInputs {
    const {node, now, periods, view} = this.#parts;
    const holdMs = lengthen(periods.loanTermMs + periods.requestLimitMs);
    const at = now();
    const freed = view.record.reclaimed
      .map(({incarnation}) => incarnation)
      .filter((incarnation) => view.reclaimed.lasts(incarnation, holdMs, at));
    return {
      cells: this.#cells(),
      freeCells: this.releases.freeCells(),
      freedIncarnations: new Set(freed),
      freeShares: this.releases.freeShares(),
      leaving: this.#leaving,
      minions: this.#capacities(),
      own: node.identity.incarnation,
      removable,
    };
  }

  async #readAgain(): Promise<void> {
    const reading = await this.#parts.recordStore.read(this.#parts.view.reading);
    if (reading.isOk()) {
      this.#adopt(reading.value);
      if (!this.#parts.view.hasMember(this.#parts.node.identity.incarnation)) {
        await this.#end();
      }
    }
  }

  #recordedShare(minion: string): number {
    const own = this.#parts.node.identity.incarnation;
    const found = this.#parts.view.record.minions.find((each) => each.minion === minion);
    return found === undefined ? 0 : shareOf(found, own);
  }

  #releaseSurplus(record: AllotmentRecord): void {
    const own = this.#parts.node.identity.incarnation;
    for (const cell of chooseSurplus(record, own)) {
      this.releases.releaseCell(cell);
    }
    const capacities = indexCapacities(this.#capacities());
    for (const surplus of chooseSurplusShares(record, capacities, own)) {
      this.releases.releaseShare(surplus);
    }
  }

  /** Members count with each other's periods, so only those with the same ones may join. */
  #sharesPeriods({members, periods}: AllotmentRecord): boolean {
    const {node, periods: own} = this.#parts;
    if (members.length === 0 || periods === undefined || isDeepStrictEqual(periods, own)) {
      return true;
    }
    if (!this.#refused) {
      this.#refused = true;
      const fields = {members: JSON.stringify(periods), own: JSON.stringify(own)};
      node.events.record(MEMBERSHIP_EVENTS.PERIODS_DIFFER, fields);
    }
    return false;
  }

  #withOwn(record: AllotmentRecord): AllotmentRecord {
    const own: MemberRecord = {...this.#tenure.describe(), electors: [], state: 'active'};
    const {periods} = this.#parts;
    const draft = {...record, members: [...record.members, own], periods};
    const members = draft.members.map((member) =>
      member === own ? {...member, electors: listElectors(draft)} : member,
    );
    return {...draft, members};
  }

  /**
   * Removes an earlier process of this VM at once: this one listens on the same address, which the
   * earlier one holds for as long as it lives.
   */
  #withoutPredecessor(record: AllotmentRecord): AllotmentRecord {
    const {peerAddress} = this.#parts;
    return record.members
      .filter(
        (each) => each.vm === this.#parts.node.identity.vm && each.peerAddress === peerAddress,
      )
      .reduce((draft, {incarnation}) => withoutMember(draft, incarnation), record);
  }
}
