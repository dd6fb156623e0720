/** Registers the requests feature on an entry VM's process. */

import type {MinionChoicePolicy, QueuePolicy} from '@nutmegproxy/admission';
import type {CatalogueSource} from '@nutmegproxy/catalogue';
import type {DrainStart, EntryNode, MinionId, Unregister} from '@nutmegproxy/core';
import type {Membership, ShareRelease} from '@nutmegproxy/membership';
import type {Settings} from '@nutmegproxy/schema';
import type {PlatformStore} from '@nutmegproxy/store';
import type {VmDirectory} from '@nutmegproxy/workers';
import type {ResultAsync} from 'neverthrow';
import type {AddressInfo} from 'node:net';

import {createRandom, MINION_CHOICES, REQUEST_QUEUES} from '@nutmegproxy/admission';
import {CATALOGUE_CHANGED} from '@nutmegproxy/catalogue';
import {DRAIN_STARTED, mergeUnregister, PRIORITY_NORMAL} from '@nutmegproxy/core';
import {ALLOTMENT_CHANGED, SHARE_RELEASE_WANTED, TENURE_GAINED} from '@nutmegproxy/membership';
import {VMS_CHANGED} from '@nutmegproxy/workers';

import type {CallerRouteHandler, ListenFailure} from './CallerListener.ts';
import type {SlotUse} from './SlotLedger.ts';
import type {SlotLender, SlotLoans} from './SlotLoans.ts';

import {CallerListener} from './CallerListener.ts';
import {CatalogueLimits} from './CatalogueLimits.ts';
import {ConnectionPool} from './ConnectionPool.ts';
import {EntryRequests} from './EntryRequests.ts';
import {KeyedDispatch} from './KeyedDispatch.ts';
import {MinionRoutes} from './MinionRoutes.ts';
import {RequestDispatcher} from './RequestDispatcher.ts';
import {RequestKeys} from './RequestKeys.ts';
import {
  DEFAULT_KEY_PREFIX,
  DEFAULT_STOP_DELAY_MS,
  ENTRIES_PREFIX,
  TICK_MS,
} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';
import {RequestsMetrics} from './RequestsMetrics.ts';
import {ShareReleases} from './ShareReleases.ts';
import {SlotLedger} from './SlotLedger.ts';
import {TenureGuard} from './TenureGuard.ts';

/** Loans that run until `unregister` is called. */
export interface LoansRegistration {
  readonly loans: SlotLoans;
  readonly unregister: Unregister;
}

/** What the requests feature needs from the others. */
export interface RequestsServices {
  readonly catalogue: CatalogueSource;
  readonly directory: VmDirectory;
  readonly membership: Membership;
  /** Begins loans with peers, which take slots from `lender`; without it nothing is borrowed. */
  readonly registerLoans?: (lender: SlotLender) => LoansRegistration;
  /** Seed of the random choices; a fixed one makes runs repeatable. */
  readonly seed: number;
  readonly settings: Settings;
  readonly store: PlatformStore;
}

/** The running feature. */
export interface Requests {
  /** Deducts and restores slots that peers borrow from this process. */
  readonly lender: SlotLender;
  /** Starts to listen for callers at the address of the settings. */
  listen(): ResultAsync<AddressInfo, ListenFailure>;
  /** Requests of callers that wait or run. */
  openRequests(): number;
  /** Serves another prefix, such as `/tasks/`, on the callers' listener. */
  registerCallerRoute(prefix: string, handler: CallerRouteHandler): Unregister;
  /** How this process's slots of a minion stand at present. */
  slotUse(minion: MinionId): SlotUse;
  /** Closes at once and takes back all registrations. */
  readonly unregister: Unregister;
}

const DEFAULT_MINION_CHOICE: MinionChoicePolicy = 'power-of-two';
const DEFAULT_REQUEST_QUEUE: QueuePolicy = 'deadline';

function parseAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  return {host, port: Number(address.slice(colon + 1))};
}

/** `lookForWork` is called when slots have come back. */
function createLender(
  ledger: SlotLedger,
  pool: ConnectionPool,
  lookForWork: () => void,
): SlotLender {
  return {
    end: (minion, count) => {
      ledger.endBorrowed(minion, count);
      void pool.trim(minion, ledger.idle(minion));
    },
    restore: (minion, count) => {
      ledger.restoreLent(minion, count);
      lookForWork();
    },
    take: (minion, count) => {
      const lent = ledger.lend(minion, count);
      void pool.trim(minion, ledger.idle(minion));
      return lent;
    },
  };
}

/** The parts of the feature, wired to each other. */
function createParts(node: EntryNode, services: RequestsServices) {
  const {catalogue, directory, membership, seed, settings, store} = services;
  const {identity} = node;
  const random = createRandom(seed);
  const ledger = new SlotLedger();
  const pool = new ConnectionPool();
  const routes = new MinionRoutes({catalogue, directory, identity, ledger, membership});
  const {policies = {}} = settings;
  const choice = policies.minionChoice ?? DEFAULT_MINION_CHOICE;
  const queue = policies.requestQueue ?? DEFAULT_REQUEST_QUEUE;
  const guard = new TenureGuard(membership);
  const lender = createLender(ledger, pool, () => {
    dispatcher.refresh(node.clock.monotonic());
  });
  const registration = services.registerLoans?.(lender);
  const loans = registration?.loans;
  const dispatcher = new RequestDispatcher({
    createChoice: () => MINION_CHOICES[choice](random),
    createQueue: REQUEST_QUEUES[queue],
    directory,
    guard,
    ledger,
    limits: new CatalogueLimits({catalogue, directory, identity, membership}),
    loans,
    membership,
    node,
    pool,
    routes,
  });
  const keys = new RequestKeys({
    clock: node.clock,
    countVms: () => directory.vms().filter(({role}) => role === 'entry').length,
    identity,
    keyPrefix: settings.platform.keyPrefix ?? DEFAULT_KEY_PREFIX,
    store,
  });
  const isReady = (): boolean =>
    membership.holdsTenure(node.clock.monotonic()) && catalogue.current().revision > 0;
  const listener = new CallerListener(node, isReady, random);
  const releases = new ShareReleases(ledger);
  const unregisterLoans: Unregister = () => registration?.unregister();
  return {
    dispatcher,
    guard,
    keys,
    ledger,
    lender,
    listener,
    loans,
    pool,
    releases,
    routes,
    unregisterLoans,
  };
}

type Parts = ReturnType<typeof createParts>;

/** Gives back idle borrowed slots, closes connections beyond the shares, and looks for work. */
function tick(parts: Parts, node: EntryNode): void {
  const {dispatcher, guard, ledger, loans, pool, releases} = parts;
  const now = node.clock.monotonic();
  loans?.expire(now);
  guard.check(now);
  dispatcher.refresh(now);
  releases.check();
  for (const minion of ledger.borrowedMinions()) {
    const count = ledger.takeBorrowed(minion);
    if (count > 0) {
      loans?.giveBack(minion, count);
    }
  }
  for (const minion of pool.minions()) {
    void pool.trim(minion, ledger.idle(minion));
  }
}

function recordLoad(metrics: RequestsMetrics, {ledger, listener}: Parts): void {
  metrics.waiting.set(listener.inProgress);
  for (const [state, count] of Object.entries(ledger.totals())) {
    metrics.slots.set({state}, count);
  }
}

/**
 * Registers the requests feature. It serves callers once `listen` has been called.
 *
 * @example
 * const requests = registerRequests(node, services);
 * await requests.listen();
 */
export function registerRequests(node: EntryNode, services: RequestsServices): Requests {
  const {catalogue, settings} = services;
  const parts = createParts(node, services);
  const {dispatcher, listener, pool, routes} = parts;
  const metrics = new RequestsMetrics(node.metrics);
  const keyed = new KeyedDispatch(dispatcher, parts.keys);
  const entries = new EntryRequests({catalogue, dispatcher, keyed, listener, metrics, node});
  const look = (): boolean => {
    routes.invalidate();
    dispatcher.refresh(node.clock.monotonic());
    return false;
  };
  const lookAtShares = (): boolean => {
    routes.refreshShares();
    return look();
  };
  const releaseShare = (release: ShareRelease): boolean => {
    lookAtShares();
    parts.releases.add(release);
    return true;
  };
  const stop = async (): Promise<void> => {
    await listener.stop(settings.timings?.stopDelayMs ?? DEFAULT_STOP_DELAY_MS);
    await parts.keys.settle();
    await pool.close();
    tick(parts, node);
  };
  const startDrain = ({wait}: DrainStart): boolean => {
    wait(stop());
    return false;
  };
  const ticker = setInterval(() => {
    tick(parts, node);
    recordLoad(metrics, parts);
  }, TICK_MS);
  return {
    lender: parts.lender,
    listen: () => {
      const {host, port} = parseAddress(settings.listen.callers);
      return listener
        .listen(host, port)
        .andTee((address) => {
          node.events.record(REQUESTS_EVENTS.LISTENING, {port: address.port});
        })
        .orTee(({message}) => {
          node.events.record(REQUESTS_EVENTS.LISTEN_FAILED, {message});
        });
    },
    openRequests: () => listener.inProgress,
    registerCallerRoute: (prefix, handler) => listener.registerRoute(prefix, handler),
    slotUse: (minion) => parts.ledger.use(minion),
    unregister: mergeUnregister(
      () => {
        listener.terminate();
        void pool.close();
      },
      () => {
        clearInterval(ticker);
      },
      parts.unregisterLoans,
      listener.registerRoute(ENTRIES_PREFIX, (exchange) => entries.handle(exchange)),
      node.bus.register(CATALOGUE_CHANGED, look, PRIORITY_NORMAL),
      node.bus.register(ALLOTMENT_CHANGED, lookAtShares, PRIORITY_NORMAL),
      node.bus.register(SHARE_RELEASE_WANTED, releaseShare, PRIORITY_NORMAL),
      node.bus.register(TENURE_GAINED, look, PRIORITY_NORMAL),
      node.bus.register(VMS_CHANGED, look, PRIORITY_NORMAL),
      node.bus.register(DRAIN_STARTED, startDrain, PRIORITY_NORMAL),
    ),
  };
}
