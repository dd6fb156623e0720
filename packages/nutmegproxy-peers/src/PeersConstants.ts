/** Limits and intervals of the links between entry VMs. */

export const HEARTBEAT_MS = 1_000;
export const MAX_SILENT_HEARTBEATS = 4;
export const HANDSHAKE_TIMEOUT_MS = 3_000;
export const DIAL_RETRY_MIN_MS = 200;
export const DIAL_RETRY_MAX_MS = 5_000;
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Limit of received frames that wait for the link's read loop. */
export const MAX_INBOX_BYTES = 2 * 1024 * 1024;
/** The same limit before the peer is authenticated. */
export const MAX_HANDSHAKE_BYTES = 8 * 1024;
export const MAX_REQUESTS_IN_FLIGHT = 1_024;
export const MAX_HANDSHAKES = 32;
export const MAX_KNOWN_PEERS = 512;
export const MAX_LINKS = 256;
/** Peers announced when a link opens, and then once per HEARTBEATS_PER_GOSSIP heartbeats. */
export const INITIAL_GOSSIP_PEERS = 8;
export const PERIODIC_GOSSIP_PEERS = 2;
export const HEARTBEATS_PER_GOSSIP = 4;
/** Links that a VM opens to each other data centre. */
export const LINKS_PER_DATA_CENTRE = 1;
export const FRAME_MAC_BYTES = 16;
export const NONCE_BYTES = 32;
