/** One process's membership: its parts, and the steps that its loops repeat. */

import type {Instant, MinionId, Unregister} from '@nutmegproxy/core';

import {randomUUID} from 'node:crypto';

import type {Allotment, Membership} from './Membership.ts';
import type {MembershipParts, MembershipServices} from './MembershipServices.ts';
import type {PollNeeds} from './RecordPolling.ts';

import {shareOf, toAllotment} from './AllotmentRecordUtils.ts';
import {Announcer} from './Announcer.ts';
import {MembershipKeys} from './MembershipKeys.ts';
import {registerMembershipMessages} from './MembershipMessages.ts';
import {RecordKeeper} from './RecordKeeper.ts';
import {RecordStore} from './RecordStore.ts';
import {RecordView} from './RecordView.ts';
import {TenureKeeper} from './TenureKeeper.ts';
import {TenureState} from './TenureState.ts';
import {VouchBook} from './VouchBook.ts';

export interface MembershipNodeOptions {
  readonly createChangeId?: () => string;
  /** Called when a peer has seen a newer record. */
  readonly onNotice?: () => void;
  readonly prefix: string;
}

export class MembershipNode implements Membership {
  readonly unregister: Unregister;
  #allotment: Allotment | undefined;
  readonly #announcer: Announcer;
  readonly #parts: MembershipParts;
  readonly #records: RecordKeeper;
  readonly #tenure: TenureKeeper;

  constructor(services: MembershipServices, options: MembershipNodeOptions) {
    const {node, periods, store} = services;
    const {createChangeId = randomUUID, onNotice, prefix} = options;
    const keys = new MembershipKeys(prefix, node.identity.dataCentre);
    const parts: MembershipParts = {
      ...services,
      book: new VouchBook(periods.vouchPeriodMs),
      now: () => node.clock.monotonic(),
      recordStore: new RecordStore(store, keys, createChangeId),
      state: new TenureState(node.identity.incarnation, periods),
      view: new RecordView(),
    };
    this.#parts = parts;
    this.#tenure = new TenureKeeper(parts);
    this.#records = new RecordKeeper(parts, this.#tenure);
    this.#announcer = new Announcer(parts);
    this.unregister = registerMembershipMessages(parts, (modRevision) => {
      if (modRevision > parts.view.reading.modRevision) {
        onNotice?.();
      }
    });
  }

  get ended(): boolean {
    return this.#records.ended;
  }

  get pollNeeds(): PollNeeds {
    return this.#records.pollNeeds;
  }

  /** Members that this process has removed from the record. */
  get removals(): number {
    return this.#records.removals;
  }

  allotment(): Allotment | undefined {
    const {modRevision, record} = this.#parts.view.reading;
    if (modRevision === 0) {
      return undefined;
    }
    if (this.#allotment?.modRevision !== modRevision) {
      const {dataCentre} = this.#parts.node.identity;
      this.#allotment = toAllotment(record, dataCentre, modRevision);
    }
    return this.#allotment;
  }

  holdsTenure(now: Instant): boolean {
    return this.#parts.state.holds(now);
  }

  leave(): void {
    this.#records.leave();
  }

  ownShare(minion: MinionId): number {
    const own = this.#parts.node.identity.incarnation;
    const recorded = this.#parts.view.record.minions.find((each) => each.minion === minion);
    const share = recorded === undefined ? 0 : shareOf(recorded, own);
    return Math.min(share, this.#records.releases.keptShare(minion));
  }

  /** Reads and changes the record; at most one call runs at a time. */
  async stepRecord(): Promise<void> {
    await this.#records.step();
    this.#announcer.announceTenure(this.#parts.now());
    await this.#announcer.announceRecord(this.#records.ended);
  }

  /** Renews tenure as far as due; at most one call runs at a time. */
  async stepTenure(now: Instant): Promise<void> {
    this.#announcer.announceTenure(now);
    if (!this.#records.ended) {
      await this.#tenure.renew(now);
    }
    this.#announcer.announceTenure(this.#parts.now());
  }

  tenureEnds(): Instant {
    return this.#parts.state.ends();
  }
}
