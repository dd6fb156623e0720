/** Public API of the stand-ins. */

export {listen, parseControl, readBody, sendJson, sendJsonAtRate} from './HttpListener.ts';
export type {HttpExchange, HttpHandler, HttpRoutes, Standin} from './HttpListener.ts';
export {LocalMesh, LocalNetwork} from './LocalMesh.ts';
export type {LinkState} from './LocalMesh.ts';
export {MemoryStore} from './MemoryStore.ts';
export {
  buildMinionResponse,
  IDEMPOTENCY_HEADER,
  LEAVING_HEADER,
  MinionServer,
  REFUSED_HEADER,
  REQUEST_HEADER,
  SERVICE_TIME_HEADER,
} from './MinionServer.ts';
export type {
  MinionControl,
  MinionCounters,
  MinionFault,
  MinionFaultKind,
  MinionLimits,
  MinionRequest,
} from './MinionServer.ts';
export {StoreEngine} from './StoreEngine.ts';
export {StoreFaults} from './StoreFaults.ts';
export type {StoreFaultSettings} from './StoreFaults.ts';
export {StoreServer} from './StoreServer.ts';
export type {StoreControl, StoreCounters} from './StoreServer.ts';
export {TcpRelay} from './TcpRelay.ts';
export type {PartitionDirection, RelayBytes, RelayControl, RelayTarget} from './TcpRelay.ts';
export {VmListServer} from './VmListServer.ts';
export type {VmListControl} from './VmListServer.ts';
export {WorkerModel} from './WorkerModel.ts';
export type {AttemptInterval, ClockReading, WorkerFaults} from './WorkerModel.ts';
export {WorkerServer} from './WorkerServer.ts';
export type {WorkerControl} from './WorkerServer.ts';
