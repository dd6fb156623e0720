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
import {KeyedDispatcher} from './KeyedDispatcher.ts';
import {MinionRoutes} from './MinionRoutes.ts';
import {RequestDispatcher} from './RequestDispatcher.ts';
import {RequestKeys} from './RequestKeys.ts';
import {
  DEFAULT_KEY_PREFIX,
  DEFAULT_STOP_DELAY_MS,
  ENTRIES_PREFIX,
  REFRESH_INTERVAL_MS,
} from './RequestsConstants.ts';
import {REQUESTS_EVENTS} from './RequestsEvents.ts';
import {RequestsMetrics} from './RequestsMetrics.ts';
import {ShareReleases} from './ShareReleases.ts';
import {SlotLedger} from './SlotLedger.ts';
import {TenureGuard} from './TenureGuard.ts';

/** Registered loans; they end when `unregister` is called. */
export interface LoansRegistration {
  readonly loans: SlotLoans;
  readonly unregister: Unregister;
}

/** Dependencies of the requests feature. */
export interface RequestsDependencies {
  readonly catalogue: CatalogueSource;
  readonly directory: VmDirectory;
  readonly membership: Membership;
  /** Registers loans with peers, which borrow from `lender`; without it no slots are borrowed. */
  readonly registerLoans?: (lender: SlotLender) => LoansRegistration;
  /** Seed of the random choices; a fixed seed makes runs reproducible. */
  readonly seed: number;
  readonly settings: Settings;
  readonly store: PlatformStore;
}

/** The registered feature. */
export interface Requests {
  /** Returns the number of caller requests that are queued or running. */
  countOpenRequests(): number;
  /** Deducts and restores the slots that peers borrow from this process. */
  readonly lender: SlotLender;
  /** Starts to listen for callers at the address in the settings. */
  listen(): ResultAsync<AddressInfo, ListenFailure>;
  /** Registers a handler for another prefix, such as `/tasks/`, on the callers' listener. */
  registerCallerRoute(prefix: string, handler: CallerRouteHandler): Unregister;
  /** Returns this process's current slot counts of a minion. */
  slotUse(minion: MinionId): SlotUse;
  /** Closes the listener immediately and removes all registrations. */
  readonly unregister: Unregister;
}

const DEFAULT_MINION_CHOICE: MinionChoicePolicy = 'power-of-two';
const DEFAULT_REQUEST_QUEUE: QueuePolicy = 'deadline';

function parseAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  return {host, port: Number(address.slice(colon + 1))};
}

/** `onSlotsReturned` is called when lent slots have been returned. */
function createLender(
  ledger: SlotLedger,
  pool: ConnectionPool,
  onSlotsReturned: () => void,
): SlotLender {
  return {
    end: (minion, count) => {
      ledger.endBorrowed(minion, count);
      void pool.trim(minion, ledger.idle(minion));
    },
    restore: (minion, count) => {
      ledger.restoreLent(minion, count);
      onSlotsReturned();
    },
    take: (minion, count) => {
      const lent = ledger.lend(minion, count);
      void pool.trim(minion, ledger.idle(minion));
      return lent;
    },
  };
}

/** Creates and connects the components of the feature. */
function createComponents(node: EntryNode, dependencies: RequestsDependencies) {
  const {catalogue, directory, membership, seed, settings, store} = dependencies;
  const {identity} = node;
  const random = createRandom(seed);
  const ledger = new SlotLedger();
  const pool = new ConnectionPool();
  const routes = new MinionRoutes({catalogue, directory, identity, ledger, membership});
  const {policies = {}} = settings;
  const minionChoice = policies.minionChoice ?? DEFAULT_MINION_CHOICE;
  const requestQueue = policies.requestQueue ?? DEFAULT_REQUEST_QUEUE;
  const tenureGuard = new TenureGuard(membership);
  const lender = createLender(ledger, pool, () => {
    dispatcher.refresh(node.clock.monotonic());
  });
  const registration = dependencies.registerLoans?.(lender);
  const loans = registration?.loans;
  const dispatcher = new RequestDispatcher({
    createChoice: () => MINION_CHOICES[minionChoice](random),
    createQueue: REQUEST_QUEUES[requestQueue],
    directory,
    ledger,
    limits: new CatalogueLimits({catalogue, directory, identity, membership}),
    loans,
    membership,
    node,
    pool,
    routes,
    tenureGuard,
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
    keys,
    ledger,
    lender,
    listener,
    loans,
    pool,
    releases,
    routes,
    tenureGuard,
    unregisterLoans,
  };
}

type Components = ReturnType<typeof createComponents>;

/** Periodic work: grants slots, returns idle borrowed slots and closes excess connections. */
function runMaintenance(components: Components, node: EntryNode): void {
  const {dispatcher, ledger, loans, pool, releases, tenureGuard} = components;
  const now = node.clock.monotonic();
  loans?.expire(now);
  tenureGuard.abortOverdue(now);
  dispatcher.refresh(now);
  releases.reportFreed();
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

function updateGauges(metrics: RequestsMetrics, {ledger, listener}: Components): void {
  metrics.openRequests.set(listener.inProgressCount);
  for (const [state, count] of Object.entries(ledger.totals())) {
    metrics.slots.set({state}, count);
  }
}

/**
 * Registers the requests feature, which serves callers once `listen` is called.
 *
 * @example
 * const requests = registerRequests(node, dependencies);
 * await requests.listen();
 */
export function registerRequests(node: EntryNode, dependencies: RequestsDependencies): Requests {
  const {catalogue, settings} = dependencies;
  const components = createComponents(node, dependencies);
  const {dispatcher, listener, pool, routes} = components;
  const metrics = new RequestsMetrics(node.metrics);
  const keyed = new KeyedDispatcher(dispatcher, components.keys);
  const entries = new EntryRequests({catalogue, dispatcher, keyed, listener, metrics, node});
  const handleChange = (): boolean => {
    routes.invalidate();
    dispatcher.refresh(node.clock.monotonic());
    return false;
  };
  const handleSharesChange = (): boolean => {
    routes.refreshShares();
    return handleChange();
  };
  const handleShareRelease = (release: ShareRelease): boolean => {
    handleSharesChange();
    components.releases.add(release);
    return true;
  };
  const finishRequests = async (): Promise<void> => {
    await listener.stop(settings.timings?.stopDelayMs ?? DEFAULT_STOP_DELAY_MS);
    await components.keys.flush();
    await pool.close();
    runMaintenance(components, node);
  };
  const handleDrainStarted = ({wait}: DrainStart): boolean => {
    wait(finishRequests());
    return false;
  };
  const maintenanceTimer = setInterval(() => {
    runMaintenance(components, node);
    updateGauges(metrics, components);
  }, REFRESH_INTERVAL_MS);
  return {
    countOpenRequests: () => listener.inProgressCount,
    lender: components.lender,
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
    registerCallerRoute: (prefix, handler) => listener.registerRoute(prefix, handler),
    slotUse: (minion) => components.ledger.getUse(minion),
    unregister: mergeUnregister(
      () => {
        listener.terminate();
        void pool.close();
      },
      () => {
        clearInterval(maintenanceTimer);
      },
      components.unregisterLoans,
      listener.registerRoute(ENTRIES_PREFIX, (exchange) => entries.handle(exchange)),
      node.bus.register(CATALOGUE_CHANGED, handleChange, PRIORITY_NORMAL),
      node.bus.register(ALLOTMENT_CHANGED, handleSharesChange, PRIORITY_NORMAL),
      node.bus.register(SHARE_RELEASE_WANTED, handleShareRelease, PRIORITY_NORMAL),
      node.bus.register(TENURE_GAINED, handleChange, PRIORITY_NORMAL),
      node.bus.register(VMS_CHANGED, handleChange, PRIORITY_NORMAL),
      node.bus.register(DRAIN_STARTED, handleDrainStarted, PRIORITY_NORMAL),
    ),
  };
}
