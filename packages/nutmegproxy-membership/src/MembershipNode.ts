/** Membership of one process: combines its components and the steps that its loops repeat. */

import type {Instant, MinionId, Unregister} from '@nutmegproxy/core';

import {randomUUID} from 'node:crypto';

import type {Allotment, Membership} from './Membership.ts';
import type {MembershipContext, MembershipServices} from './MembershipServices.ts';
import type {PollInputs} from './RecordPollInterval.ts';

import {getShare, toAllotment} from './AllotmentRecordUtils.ts';
import {MembershipKeys} from './MembershipKeys.ts';
import {registerMembershipMessages} from './MembershipMessages.ts';
import {MembershipNotifier} from './MembershipNotifier.ts';
import {RecordReconciler} from './RecordReconciler.ts';
import {RecordStore} from './RecordStore.ts';
import {RecordView} from './RecordView.ts';
import {TenureRenewer} from './TenureRenewer.ts';
import {TenureState} from './TenureState.ts';
import {VouchRegistry} from './VouchRegistry.ts';

export interface MembershipNodeOptions {
  readonly createChangeId?: () => string;
  /** Called when a peer announces a newer record. */
  readonly onNotice?: () => void;
  readonly prefix: string;
}

export class MembershipNode implements Membership {
  readonly unregister: Unregister;
  #allotment: Allotment | undefined;
  readonly #notifier: MembershipNotifier;
  readonly #context: MembershipContext;
  readonly #recordReconciler: RecordReconciler;
  readonly #tenureRenewer: TenureRenewer;

  constructor(services: MembershipServices, options: MembershipNodeOptions) {
    const {node, periods, store} = services;
    const {createChangeId = randomUUID, onNotice, prefix} = options;
    const keys = new MembershipKeys(prefix, node.identity.dataCentre);
    const context: MembershipContext = {
      ...services,
      now: () => node.clock.monotonic(),
      recordStore: new RecordStore(store, keys, createChangeId),
      state: new TenureState(node.identity.incarnation, periods),
      view: new RecordView(),
      vouchRegistry: new VouchRegistry(periods.vouchPeriodMs),
    };
    this.#context = context;
    this.#tenureRenewer = new TenureRenewer(context);
    this.#recordReconciler = new RecordReconciler(context, this.#tenureRenewer);
    this.#notifier = new MembershipNotifier(context);
    this.unregister = registerMembershipMessages(context, (modRevision) => {
      if (modRevision > context.view.reading.modRevision) {
        onNotice?.();
      }
    });
  }

  get hasLeft(): boolean {
    return this.#recordReconciler.hasLeft;
  }

  get pollInputs(): PollInputs {
    return this.#recordReconciler.pollInputs;
  }

  /** Members that this process has removed from the record. */
  get removalCount(): number {
    return this.#recordReconciler.removalCount;
  }

  allotment(): Allotment | undefined {
    const {modRevision, record} = this.#context.view.reading;
    if (modRevision === 0) {
      return undefined;
    }
    if (this.#allotment?.modRevision !== modRevision) {
      const {dataCentre} = this.#context.node.identity;
      this.#allotment = toAllotment(record, dataCentre, modRevision);
    }
    return this.#allotment;
  }

  holdsTenure(now: Instant): boolean {
    return this.#context.state.holdsTenure(now);
  }

  leave(): void {
    this.#recordReconciler.leave();
  }

  ownShare(minion: MinionId): number {
    const own = this.#context.node.identity.incarnation;
    const recorded = this.#context.view.record.minions.find((each) => each.minion === minion);
    const share = recorded === undefined ? 0 : getShare(recorded, own);
    return Math.min(share, this.#recordReconciler.pendingReleases.getKeptSlots(minion));
  }

  /** Reads and changes the record; at most one call may run at a time. */
  async reconcileRecord(): Promise<void> {
    await this.#recordReconciler.reconcile();
    this.#notifier.notifyTenure(this.#context.now());
    await this.#notifier.notifyRecord(this.#recordReconciler.hasLeft);
  }

  /** Renews tenure if due; at most one call may run at a time. */
  async renewTenure(now: Instant): Promise<void> {
    this.#notifier.notifyTenure(now);
    if (!this.#recordReconciler.hasLeft) {
      await this.#tenureRenewer.renew(now);
    }
    this.#notifier.notifyTenure(this.#context.now());
  }

  tenureExpiresAt(): Instant {
    return this.#context.state.expiresAt();
  }
}
