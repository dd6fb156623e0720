/** Public API of the relays. */

export {IDLE_MINION_MS} from './RelayConstants.ts';
export {RelayedMinionOrders} from './RelayedMinionOrders.ts';
export type {RelayedMinionOrdersOptions} from './RelayedMinionOrders.ts';
export {RELAY_EVENTS} from './RelayEvents.ts';
export type {RelayCandidate} from './RelayRoutes.ts';
export {RelayServer} from './RelayServer.ts';
export type {RelayServerOptions} from './RelayServer.ts';
