/** Public API of the store client. */

export {decodeText, encodeText, parseMessage} from './EtcdJson.ts';
export type {
  EtcdCompare,
  EtcdKeyValue,
  EtcdOperation,
  EtcdOperationResponse,
  EtcdTransaction,
  EtcdTransactionResponse,
} from './EtcdJson.ts';
export {EtcdStore} from './EtcdStore.ts';
export type {EtcdStoreOptions} from './EtcdStore.ts';
export {exchange} from './HttpExchange.ts';
export type {HttpFailure, HttpRequest, HttpResponse} from './HttpExchange.ts';
export type {
  Comparison,
  LeaseId,
  LeaseResponse,
  Operation,
  OperationResponse,
  PlatformStore,
  StoredValue,
  StoreFailure,
  Transaction,
  TransactionResponse,
  Watch,
  WatchEvent,
  WatchHandler,
} from './PlatformStore.ts';
export {BODY_STALL_TIMEOUT_MS} from './StoreConstants.ts';
export {createStoreMetrics} from './StoreMetrics.ts';
export type {StoreCallKind, StoreCallOutcome, StoreMetrics} from './StoreMetrics.ts';
export {getKey, getPrefix, isWrite, put} from './StoreUtils.ts';
export type {PrefixSnapshot} from './StoreUtils.ts';
