/** Public surface of the stand-ins. */

export {listen, readControl, sendJson} from './HttpListener.ts';
export type {HttpExchange, HttpHandler, HttpRoutes, Standin} from './HttpListener.ts';
export {LocalMesh, LocalNetwork} from './LocalMesh.ts';
export type {Passage} from './LocalMesh.ts';
export {MemoryStore} from './MemoryStore.ts';
export {StoreEngine} from './StoreEngine.ts';
export {StoreFaults} from './StoreFaults.ts';
export type {StoreFaultSettings} from './StoreFaults.ts';
export {StoreServer} from './StoreServer.ts';
export type {StoreControl, StoreCounters} from './StoreServer.ts';
