/** Public surface of the store client. */

export type {
  Comparison,
  LeaseAnswer,
  LeaseId,
  Operation,
  OperationAnswer,
  PlatformStore,
  StoredValue,
  StoreFailure,
  Transaction,
  TransactionAnswer,
  Watch,
  WatchEvent,
  WatchHandler,
} from './PlatformStore.ts';
