/** Events of the links between entry VMs. */

import type {EventKind} from '@nutmegproxy/core';

export const PEERS_EVENTS = {
  LINK_CLOSED: {code: 2201, level: 'info', text: 'A link to a peer is closed.'},
  LINK_OPEN: {code: 2200, level: 'info', text: 'A link to a peer is authenticated and open.'},
  PEER_MALFORMED: {
    code: 2203,
    level: 'warn',
    text: 'A peer sent a frame that is malformed or too large; its link is closed.',
  },
  PEER_REFUSED: {
    code: 2202,
    level: 'warn',
    text: 'A peer connection failed its handshake, for example because the peer secrets differ.',
  },
  PEER_SILENT: {code: 2205, level: 'warn', text: 'A peer sent no heartbeat; its link is closed.'},
  PEER_SLOW: {
    code: 2204,
    level: 'warn',
    text: 'A peer reads too slowly and its send buffer is full; its link is closed.',
  },
} satisfies Record<string, EventKind>;
