/** Keeps this process in the record, and the record consistent with members, minions and cells. */

import type {IncarnationId} from '@nutmegproxy/core';
import type {AllotmentRecord, MemberRecord} from '@nutmegproxy/schema';

import {brand} from '@nutmegproxy/core';
import {isDeepStrictEqual} from 'node:util';

import type {MembershipContext} from './MembershipServices.ts';
import type {PlanInputs} from './RecordPlan.ts';
import type {PollInputs} from './RecordPollInterval.ts';
import type {ChangeOutcome, RecordChange, RecordReading} from './RecordStore.ts';
import type {MinionCapacity} from './SharePlan.ts';
import type {TenureRenewer} from './TenureRenewer.ts';

import {findMember, getShare, withoutMember} from './AllotmentRecordUtils.ts';
import {chooseSurplusCells} from './CellPlan.ts';
import {MemberRemoval} from './MemberRemoval.ts';
import {MEMBERSHIP_EVENTS} from './MembershipEvents.ts';
import {MESSAGE_TYPES} from './MembershipMessages.ts';
import {PendingReleases} from './PendingReleases.ts';
import {listElectors, planRecord} from './RecordPlan.ts';
import {chooseSurplusShares, indexCapacities} from './SharePlan.ts';
import {addClockMargin} from './TenureState.ts';

/** Electors that may be in the record after a write whose outcome is unknown. */
interface UnconfirmedElectors {
  readonly electors: readonly IncarnationId[];
  readonly modRevision: number;
}

export class RecordReconciler {
  readonly pendingReleases: PendingReleases;
  removalCount = 0;
  #hasJoined = false;
  #isLeaving = false;
  #hasLeft = false;
  readonly #context: MembershipContext;
  #unconfirmedElectors: UnconfirmedElectors | undefined;
  /** Whether the event for a refused join has been recorded. */
  #isRefusalReported = false;
  readonly #memberRemoval: MemberRemoval;
  readonly #tenureRenewer: TenureRenewer;

  constructor(context: MembershipContext, tenureRenewer: TenureRenewer) {
    this.#context = context;
    this.#memberRemoval = new MemberRemoval(context);
    this.#tenureRenewer = tenureRenewer;
    this.pendingReleases = new PendingReleases(context.node.bus);
  }

  /** Whether this incarnation has left for good, by a planned stop or by removal. */
  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  /** Inputs for the interval until the next read. */
  get pollInputs(): PollInputs {
    const {node, view} = this.#context;
    const {members, reclaimed} = view.record;
    const isSettled =
      view.hasMember(node.identity.incarnation) &&
      this.#tenureRenewer.hasLease() &&
      members.every(({incarnation}) => view.reading.tenures.has(brand(incarnation))) &&
      reclaimed.length === 0 &&
      !this.pendingReleases.isPending();
    return {isUrgent: !isSettled || this.#isLeaving, members: members.length};
  }

  /** Starts a planned stop: shares and cells are released from the next step on. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Reads the record and makes the changes that are due. */
  async reconcile(): Promise<void> {
    const reading = await this.#context.recordStore.read(this.#context.view.reading);
    if (this.#hasLeft) {
      return;
    }
    if (reading.isErr()) {
      if (reading.error === 'invalid') {
        this.#context.node.events.record(MEMBERSHIP_EVENTS.RECORD_INVALID, {});
      }
      return;
    }
    this.#applyReading(reading.value);
    await this.#applyDueChanges(this.#context.view.reading);
  }

  #applyReading(reading: RecordReading): void {
    const {mesh, node, state, view} = this.#context;
    view.update(reading, this.#context.now());
    const {modRevision, record} = view.reading;
    if (
      this.#unconfirmedElectors !== undefined &&
      modRevision > this.#unconfirmedElectors.modRevision
    ) {
      this.#unconfirmedElectors = undefined;
    }
    const own = findMember(record, node.identity.incarnation);
    this.#hasJoined ||= own !== undefined;
    state.setElectors(this.#getElectorSets(own));
    this.#context.vouchRegistry.retainMembers(
      new Set(record.members.map((each) => brand(each.incarnation))),
    );
    this.pendingReleases.removeCompleted(
      (minion) => this.#getRecordedShare(minion),
      (cell) => this.#findOwnEpoch(cell),
    );
    const addresses = record.members.map(({peerAddress}) => peerAddress);
    mesh.setTargets(addresses.filter((each) => each !== this.#context.peerAddress));
  }

  async #applyDueChanges(reading: RecordReading): Promise<void> {
    const {node, state} = this.#context;
    const own = findMember(reading.record, node.identity.incarnation);
    if (own === undefined) {
      await (this.#hasJoined ? this.#leaveRecord() : this.#join(reading));
      return;
    }
    if (!this.#tenureRenewer.hasLease()) {
      await this.#tenureRenewer.reacquire(reading);
    }
    if (state.holdsLease(this.#context.now())) {
      await this.#maintain(reading);
    }
  }

  async #writeChange(change: RecordChange): Promise<ChangeOutcome> {
    const outcome = await this.#context.recordStore.change(change);
    if (outcome === 'committed') {
      // A lower bound of the new revision is enough to make the peers read.
      const modRevision = change.from.modRevision + 1;
      this.#context.mesh.broadcast({body: {modRevision}, type: MESSAGE_TYPES.recordNotice});
    }
    return outcome;
  }

  #getElectorSets(own: MemberRecord | undefined): readonly (readonly IncarnationId[])[] {
    const recorded = own?.electors.map((each) => brand<IncarnationId>(each));
    return [recorded, this.#unconfirmedElectors?.electors].filter((set) => set !== undefined);
  }

  /** Ends tenure after the record no longer contains this process. */
  async #leaveRecord(): Promise<void> {
    this.#hasLeft = true;
    this.#context.state.recordRemoval(this.#context.now());
    this.#context.node.events.record(
      this.#isLeaving ? MEMBERSHIP_EVENTS.LEFT : MEMBERSHIP_EVENTS.REMOVED,
      {},
    );
    await this.#tenureRenewer.revoke();
  }

  async #join(reading: RecordReading): Promise<void> {
    if (this.#isLeaving) {
      this.#hasLeft = true;
      return;
    }
    const others = this.#removePredecessor(reading.record);
    if (!this.#hasSamePeriods(others)) {
      return;
    }
    const granted = await this.#tenureRenewer.grantLease();
    if (granted === undefined) {
      return;
    }
    const to = this.#addOwnMember(others);
    const tenure = {lease: granted.lease, record: this.#tenureRenewer.createTenureRecord()};
    const outcome = await this.#writeChange({from: reading, tenure, to});
    if (outcome === 'committed') {
      this.#hasJoined = true;
      this.#tenureRenewer.attachLease(granted.lease, granted.sentAt);
      this.#context.node.events.record(MEMBERSHIP_EVENTS.JOINED, {});
      await this.reconcile();
    }
  }

  async #maintain(reading: RecordReading): Promise<void> {
    const {node, view} = this.#context;
    const own = node.identity.incarnation;
    this.#releaseSurplus(reading.record);
    const removable = await this.#memberRemoval.findRemovableMembers();
    const to = planRecord(reading.record, this.#createPlanInputs(removable));
    if (to === undefined || view.reading.modRevision !== reading.modRevision) {
      return;
    }
    if (findMember(to, own) === undefined) {
      this.#context.vouchRegistry.stopVouching();
    }
    this.#unconfirmedElectors = {
      electors: listElectors(to).map((each) => brand(each)),
      modRevision: reading.modRevision,
    };
    this.#context.state.setElectors(this.#getElectorSets(findMember(reading.record, own)));
    const outcome = await this.#writeChange({absentTenures: removable, from: reading, to});
    if (outcome === 'conflict' || outcome === 'failed') {
      this.#unconfirmedElectors = undefined;
      return;
    }
    if (outcome === 'committed') {
      for (const incarnation of removable) {
        this.removalCount += 1;
        node.events.record(MEMBERSHIP_EVENTS.MEMBER_REMOVED, {incarnation});
      }
      await this.#refreshReading();
    }
  }

  #getCapacities(): readonly MinionCapacity[] {
    return this.#findLocalVms()
      .filter(({role, state}) => role === 'minion' && state === 'live')
      .map(({id, slots = 0}) => ({minion: id, slots}));
  }

  #findCells(): readonly string[] {
    const racks = this.#findLocalVms()
      .filter(({role}) => role === 'worker')
      .map(({rack}) => rack)
      .filter((rack) => rack !== undefined);
    return [...new Set(racks)].sort();
  }

  #findLocalVms() {
    const {dataCentre} = this.#context.node.identity;
    return this.#context.directory.vms().filter((vm) => vm.dataCentre === dataCentre);
  }

  #findOwnEpoch(cell: string): number | undefined {
    const own = this.#context.node.identity.incarnation;
    return this.#context.view.record.cells.find((each) => each.cell === cell && each.owner === own)
      ?.epoch;
  }

  #createPlanInputs(removable: readonly IncarnationId[]): PlanInputs {
    const {node, now, periods, view} = this.#context;
    const reservationMs = addClockMargin(periods.loanTermMs + periods.requestLimitMs);
    const currentTime = now();
    const reusable = view.record.reclaimed
      .map(({incarnation}) => incarnation)
      .filter((incarnation) =>
        view.reclaimedMembers.hasLasted(incarnation, reservationMs, currentTime),
      );
    return {
      cells: this.#findCells(),
      isLeaving: this.#isLeaving,
      minions: this.#getCapacities(),
      own: node.identity.incarnation,
      releasedCells: this.pendingReleases.getReleasedCells(),
      releasedShares: this.pendingReleases.getReleasedShares(),
      removable,
      reusableIncarnations: new Set(reusable),
    };
  }

  async #refreshReading(): Promise<void> {
    const reading = await this.#context.recordStore.read(this.#context.view.reading);
    if (reading.isOk()) {
      this.#applyReading(reading.value);
      if (!this.#context.view.hasMember(this.#context.node.identity.incarnation)) {
        await this.#leaveRecord();
      }
    }
  }

  #getRecordedShare(minion: string): number {
    const own = this.#context.node.identity.incarnation;
    const found = this.#context.view.record.minions.find((each) => each.minion === minion);
    return found === undefined ? 0 : getShare(found, own);
  }

  #releaseSurplus(record: AllotmentRecord): void {
    const own = this.#context.node.identity.incarnation;
    for (const cell of chooseSurplusCells(record, own)) {
      this.pendingReleases.releaseCell(cell);
    }
    const capacities = indexCapacities(this.#getCapacities());
    for (const surplus of chooseSurplusShares(record, capacities, own)) {
      this.pendingReleases.releaseShare(surplus);
    }
  }

  /** Members rely on each other's periods, so only a process with equal periods may join. */
  #hasSamePeriods({members, periods}: AllotmentRecord): boolean {
    const {node, periods: own} = this.#context;
    if (members.length === 0 || periods === undefined || isDeepStrictEqual(periods, own)) {
      return true;
    }
    if (!this.#isRefusalReported) {
      this.#isRefusalReported = true;
      const fields = {members: JSON.stringify(periods), own: JSON.stringify(own)};
      node.events.record(MEMBERSHIP_EVENTS.PERIODS_DIFFER, fields);
    }
    return false;
  }

  #addOwnMember(record: AllotmentRecord): AllotmentRecord {
    const own: MemberRecord = {
      ...this.#tenureRenewer.createTenureRecord(),
      electors: [],
      state: 'active',
    };
    const {periods} = this.#context;
    const draft = {...record, members: [...record.members, own], periods};
    const members = draft.members.map((member) =>
      member === own ? {...member, electors: listElectors(draft)} : member,
    );
    return {...draft, members};
  }

  /**
   * Removes an earlier process of this VM at once. This process listens on the same address, so the
   * earlier one must have exited.
   */
  #removePredecessor(record: AllotmentRecord): AllotmentRecord {
    const {peerAddress} = this.#context;
    return record.members
      .filter(
        (each) => each.vm === this.#context.node.identity.vm && each.peerAddress === peerAddress,
      )
      .reduce((draft, {incarnation}) => withoutMember(draft, incarnation), record);
  }
}
