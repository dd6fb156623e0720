/** Bounds and intervals of the links between entry VMs. */

export const HEARTBEAT_MS = 1_000;
export const SILENCE_LIMIT_HEARTBEATS = 4;
export const HANDSHAKE_TIMEOUT_MS = 3_000;
export const DIAL_RETRY_MIN_MS = 200;
export const DIAL_RETRY_MAX_MS = 5_000;
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Frames that have arrived and wait for the link's task. */
export const MAX_INBOX_BYTES = 8 * 1024 * 1024;
export const MAX_REQUESTS_IN_FLIGHT = 1_024;
export const MAX_HANDSHAKES = 32;
export const MAX_KNOWN_PEERS = 512;
export const MAX_LINKS = 256;
export const GOSSIP_PER_HEARTBEAT = 8;
/** Links that a VM opens towards each other data centre. */
export const LINKS_PER_DATA_CENTRE = 2;
export const FRAME_MAC_BYTES = 16;
export const NONCE_BYTES = 32;
