/** Public surface of the links between entry VMs. */

export type {Peer, PeerFailure, PeerHandler, PeerMesh, PeerMessage} from './PeerMesh.ts';
