/** Public surface; filled by the package. */

export {LocalMesh, LocalNetwork} from './LocalMesh.ts';
export type {Passage} from './LocalMesh.ts';
