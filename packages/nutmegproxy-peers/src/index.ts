/** Public API of the links between entry VMs. */

export type {
  BodyValidator,
  Peer,
  PeerFailure,
  PeerHandler,
  PeerMesh,
  PeerMessage,
  TargetedMesh,
} from './PeerMesh.ts';
export {WsPeerMesh} from './WsPeerMesh.ts';
export type {WsPeerMeshOptions} from './WsPeerMesh.ts';
