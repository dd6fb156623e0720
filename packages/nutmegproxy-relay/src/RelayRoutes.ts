/**
 * Decides which entry VM carries out the orders for a minion: one of the largest VMs of the minion's
 * data centre, so that polls stay inside it. The choice doesn't depend on who asks, so that relays keep
 * their connections to minions across takeovers; a VM that owns a cell itself has little time for others.
 */

import type {DataCentreId, Instant, MinionId, VmId} from '@nutmegproxy/core';
import type {MinionTarget} from '@nutmegproxy/owner';

import {createHash} from 'node:crypto';

import {
  DIRECT_AGAIN_SHARE,
  DIRECT_MINIONS_PER_CORE,
  MIN_RELAY_CORES_SHARE,
  MINIONS_PER_RELAY,
  RELAY_COOLDOWN_MS,
} from './RelayConstants.ts';

/** An entry VM that may be a relay. */
export interface RelayCandidate {
  /** Processor time in cores. */
  readonly cores: number;
  readonly dataCentre: DataCentreId;
  /** IP address and port of its relay; absent when it has none. */
  readonly relayAddress?: string | undefined;
  readonly vm: VmId;
}

export type Relay = RelayCandidate & {readonly relayAddress: string};

function hash(vm: VmId, key: string): string {
  return createHash('sha256').update(`${vm}|${key}`).digest('hex');
}

function hasRelay(candidate: RelayCandidate): candidate is Relay {
  return candidate.relayAddress !== undefined;
}

/** Returns the VM with the highest weight for the key, so that few keys move when VMs change. */
function chooseByHash(relays: readonly Relay[], key: string): Relay | undefined {
  return relays
    .map((relay) => ({relay, weight: hash(relay.vm, key)}))
    .reduce<{relay: Relay; weight: string} | undefined>(
      (best, each) => (best === undefined || each.weight > best.weight ? each : best),
      undefined,
    )?.relay;
}

const NO_OWNERS: ReadonlySet<VmId> = new Set();

/**
 * Returns the relays of a data centre with that many minions, most of them among its largest VMs. One that
 * owns a cell is none unless all do.
 *
 * @example
 * chooseRelays(vms, 'dc-a' as DataCentreId, 125).map(({vm}) => vm); // ['edge-3']
 */
export function chooseRelays(
  candidates: readonly RelayCandidate[],
  dataCentre: DataCentreId,
  minions: number,
  owners = NO_OWNERS,
): readonly Relay[] {
  const local = candidates.filter(hasRelay).filter((each) => each.dataCentre === dataCentre);
  const others = local.filter(({vm}) => !owners.has(vm));
  const usable = others.length > 0 ? others : local;
  const mostCores = Math.max(0, ...usable.map(({cores}) => cores));
  return usable
    .filter(({cores}) => cores >= mostCores * MIN_RELAY_CORES_SHARE)
    .map((relay) => ({relay, weight: hash(relay.vm, dataCentre)}))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .slice(0, Math.ceil(minions / MINIONS_PER_RELAY))
    .map(({relay}) => relay);
}

export interface RelayRoutesOptions {
  /** Returns the other entry VMs; a new array after each change. */
  readonly candidates: () => readonly RelayCandidate[];
  /** Processor time of this VM in cores. */
  readonly ownCores: number;
  /** Returns the VMs that own cells; a new set after each change. Default: none is known. */
  readonly owners?: () => ReadonlySet<VmId>;
}

export class RelayRoutes {
  #candidates: readonly RelayCandidate[] = [];
  readonly #dataCentres = new Map<DataCentreId, Set<MinionId>>();
  readonly #dataCentreByMinion = new Map<MinionId, DataCentreId>();
  readonly #relays = new Map<DataCentreId, readonly Relay[]>();
  readonly #lostAt = new Map<VmId, Instant>();
  #isRelaying = false;
  readonly #options: RelayRoutesOptions;
  #owners = NO_OWNERS;
  readonly #routes = new Map<MinionId, Relay | undefined>();

  constructor(options: RelayRoutesOptions) {
    this.#options = options;
  }

  get isEmpty(): boolean {
    return this.#dataCentreByMinion.size === 0;
  }

  /** Decides whether the fleet is too large for this VM to send all orders by itself. */
  #updateRelaying(): void {
    const limit = this.#options.ownCores * DIRECT_MINIONS_PER_CORE;
    const minions = this.#dataCentreByMinion.size;
    this.#isRelaying = minions > (this.#isRelaying ? limit * DIRECT_AGAIN_SHARE : limit);
  }

  /** Returns the relay of a minion; undefined when the owner sends its orders itself. */
  find(target: MinionTarget, now: Instant): Relay | undefined {
    const {dataCentre, id} = target;
    this.addMinion(target);
    if (!this.#isRelaying) {
      return undefined;
    }
    const candidates = this.#options.candidates();
    const owners = this.#options.owners?.() ?? NO_OWNERS;
    if (candidates !== this.#candidates || owners !== this.#owners) {
      this.#candidates = candidates;
      this.#owners = owners;
      this.#clear();
    }
    if (!this.#routes.has(id)) {
      this.#routes.set(id, this.#choose(id, dataCentre, now));
    }
    return this.#routes.get(id);
  }

  /** Forgets a minion that was removed. */
  removeMinion(id: MinionId): void {
    const dataCentre = this.#dataCentreByMinion.get(id);
    if (dataCentre !== undefined) {
      this.#dataCentres.get(dataCentre)?.delete(id);
    }
    this.#dataCentreByMinion.delete(id);
    this.#routes.delete(id);
    this.#updateRelaying();
  }

  /** Excludes a relay for some seconds. */
  recordLoss(vm: VmId, now: Instant): void {
    this.#lostAt.set(vm, now);
    this.#clear();
  }

  /** Counts a minion, whose data centre may have changed. */
  addMinion({dataCentre, id}: MinionTarget): void {
    const former = this.#dataCentreByMinion.get(id);
    if (former === dataCentre) {
      return;
    }
    if (former !== undefined) {
      this.removeMinion(id);
    }
    this.#dataCentreByMinion.set(id, dataCentre);
    const minions = this.#dataCentres.get(dataCentre) ?? new Set<MinionId>();
    this.#dataCentres.set(dataCentre, minions.add(id));
    this.#updateRelaying();
  }

  #clear(): void {
    this.#relays.clear();
    this.#routes.clear();
  }

  #choose(id: MinionId, dataCentre: DataCentreId, now: Instant): Relay | undefined {
    const relays = this.#relays.get(dataCentre) ?? this.#chooseRelays(dataCentre, now);
    this.#relays.set(dataCentre, relays);
    return chooseByHash(relays, id);
  }

  #chooseRelays(dataCentre: DataCentreId, now: Instant): readonly Relay[] {
    const usable = this.#candidates.filter(
      ({vm}) => now - (this.#lostAt.get(vm) ?? -Infinity) >= RELAY_COOLDOWN_MS,
    );
    const minions = this.#dataCentres.get(dataCentre)?.size ?? 0;
    return chooseRelays(usable, dataCentre, minions, this.#owners);
  }
}
