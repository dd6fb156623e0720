/** Simulates members with fixed shares of one minion that lend slots to each other. */

import type {Clock, EntryNode, Instant, MinionId, NodeIdentity} from '@nutmegproxy/core';

import {brand, CommandBus, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {LocalNetwork} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {Registry} from 'prom-client';

import type {Allotment, Membership} from '../../index.ts';

import {SlotLoans} from '../../index.ts';

export const MINION = brand<MinionId>('minion');
export const LOAN_PERIODS = {loanTermMs: 2_000, requestLimitMs: 3_000};
const SHARES = [3, 3, 2];
const CLOCK_RATES = [1, 1.04, 0.96];
/** Delay before the slots of a removed member are assigned to others. */
const RECLAIM_MS = (LOAN_PERIODS.loanTermMs + LOAN_PERIODS.requestLimitMs) * 1.05;

function createIdentity(n: number): NodeIdentity {
  return {
    dataCentre: brand('dc'),
    incarnation: brand(`n${n}.1`),
    region: brand('region'),
    vm: brand(`n${n}`),
  };
}

const IDENTITIES = SHARES.map((_, n) => createIdentity(n));

function getIdentity(n: number): NodeIdentity {
  return IDENTITIES[n] ?? createIdentity(n);
}

function createAllotment(): Allotment {
  const members = IDENTITIES.map(({incarnation, vm}) => ({incarnation, peerAddress: vm, vm}));
  const shares = new Map(members.map(({incarnation}, n) => [incarnation, SHARES[n] ?? 0]));
  return {
    cells: new Map(),
    dataCentre: brand('dc'),
    epoch: 1,
    members: new Map(members.map((each) => [each.incarnation, each])),
    minions: new Map([[MINION, {minion: MINION, shares, slots: 8}]]),
    modRevision: 1,
  };
}

export class LoanMember {
  isAlive = true;
  borrowed = 0;
  readonly clock: Clock;
  isFrozen = false;
  readonly loans: SlotLoans;
  /** Called while this member handles a borrow request. */
  onDeduct: () => void = () => undefined;
  share: number;
  readonly #requestEnds: number[] = [];
  #lent = 0;
  readonly #simulation: LoanSimulation;

  constructor(simulation: LoanSimulation, n: number) {
    const identity = getIdentity(n);
    const rate = CLOCK_RATES[n] ?? 1;
    this.#simulation = simulation;
    this.share = SHARES[n] ?? 0;
    this.clock = {
      monotonic: () => (simulation.clock.monotonic() * rate) as Instant,
      wall: () => simulation.clock.wall(),
    };
    const node: EntryNode = {
      bus: new CommandBus(),
      clock: this.clock,
      events: SILENT_EVENTS,
      identity,
      metrics: new Registry(),
    };
    const membership: Membership = {
      allotment: () => simulation.allotment,
      holdsTenure: () => this.isAlive,
      ownShare: () => this.share,
      tenureExpiresAt: () => Infinity as Instant,
    };
    let count = 0;
    this.loans = new SlotLoans(node, {
      createLoanId: () => `${identity.incarnation}.${(count += 1)}`,
      lender: {
        restore: (_minion, back) => (this.#lent -= back),
        take: (_minion, wanted) => {
          this.onDeduct();
          const taken = Math.min(wanted, this.#countIdle());
          this.#lent += taken;
          return taken;
        },
      },
      membership,
      mesh: simulation.network.attach(identity, this.clock),
      onLoanExpired: (_minion, lost) => (this.borrowed -= lost),
      periods: LOAN_PERIODS,
    });
  }

  get identity(): NodeIdentity {
    return getIdentity(this.#simulation.members.indexOf(this));
  }

  async borrow(count: number): Promise<void> {
    this.borrowed += await this.loans.borrow(MINION, count, this.clock.monotonic());
  }

  /** Starts a request on each idle slot. */
  dispatch(): void {
    this.loans.expire(this.clock.monotonic());
    while (this.#countIdle() > 0) {
      this.#requestEnds.push(this.#simulation.clock.monotonic() + LOAN_PERIODS.requestLimitMs);
    }
  }

  finish(count: number): void {
    this.#requestEnds.splice(0, count);
  }

  giveBack(): void {
    const count = Math.min(this.borrowed, this.#countIdle());
    this.borrowed -= count;
    this.loans.giveBack(MINION, count);
  }

  countRunning(): number {
    const now = this.#simulation.clock.monotonic();
    return this.#requestEnds.filter((end) => end > now).length;
  }

  tick(): void {
    const now = this.clock.monotonic();
    this.loans.expire(now);
    void this.loans.renew(now);
  }

  #countIdle(): number {
    return Math.max(0, this.share + this.borrowed - this.#lent - this.countRunning());
  }
}

export class LoanSimulation {
  readonly allotment = createAllotment();
  readonly clock = new ManualClock();
  readonly members: LoanMember[] = [];
  readonly network = new LocalNetwork();
  #pendingReclaim: undefined | {readonly at: number; readonly count: number};

  constructor() {
    for (const n of SHARES.keys()) {
      this.members.push(new LoanMember(this, n));
    }
  }

  advance(milliseconds: number): void {
    this.clock.advance(milliseconds);
    const due = this.#pendingReclaim;
    if (due !== undefined && this.clock.monotonic() >= due.at) {
      this.#pendingReclaim = undefined;
      const successor = this.members.find((each) => each.isAlive);
      if (successor !== undefined) {
        successor.share += due.count;
      }
    }
  }

  check(): void {
    const running = this.members.reduce((sum, each) => sum + each.countRunning(), 0);
    assert.ok(running <= 8, `${running} requests on 8 slots`);
  }

  /** Kills a member, at most one in a simulation; its share later goes to another member. */
  kill(member: LoanMember): void {
    if (this.members.every((each) => each.isAlive)) {
      member.isAlive = false;
      this.network.detach(member.identity);
      this.#pendingReclaim = {at: this.clock.monotonic() + RECLAIM_MS, count: member.share};
      member.share = 0;
    }
  }
}
