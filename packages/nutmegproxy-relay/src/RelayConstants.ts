/** Times and limits of relays. */

/** Most minions that an owner sends its orders to by itself, for each core of its VM. */
export const DIRECT_MINIONS_PER_CORE = 300;
/** Share of that number below which it sends all orders by itself again. */
export const DIRECT_AGAIN_SHARE = 0.8;
/** Minions of a data centre for each of its relays. */
export const MINIONS_PER_RELAY = 150;
/** Share of the largest VM's cores from which a VM of its data centre is a relay. */
export const MIN_RELAY_CORES_SHARE = 0.9;
/** Time in milliseconds for which outcomes are collected into one message. */
export const OUTCOME_DELAY_MS = 8;
/** Time in milliseconds without outcomes after which a message shows that a relay is up. */
export const RELAY_HEARTBEAT_MS = 250;
/** Interval in milliseconds of the checks for silent relays and overdue orders. */
export const LINK_CHECK_INTERVAL_MS = 200;
/** Time in milliseconds without a message after which a link is closed. */
export const MAX_LINK_SILENCE_MS = 1_000;
/** Timeout in milliseconds of the connection to a relay. */
export const LINK_CONNECT_TIMEOUT_MS = 1_000;
/** Longest time in milliseconds that an owner waits for its links before its first orders. */
export const LINK_PREPARATION_MS = 300;
/** Time in milliseconds for which a relay is not used after its link was lost. */
export const RELAY_COOLDOWN_MS = 5_000;
/**
 * Time in milliseconds beyond the timeout of an order in which a relay that is up must report its
 * outcome.
 */
export const OUTCOME_MARGIN_MS = 1_500;
/** Timeout in milliseconds of an order at its minion, besides what a poll waits. */
export const RELAYED_ORDER_TIMEOUT_MS = 500;
/**
 * Longest delay in milliseconds of a batch of orders compared with the fastest one of its link. A
 * relay does not carry out what was held up for longer, for instance while it was suspended.
 */
export const MAX_BATCH_DELAY_MS = 500;
/**
 * Age in milliseconds, besides what a poll waits, up to which an order is sent again when its link is lost. An
 * older one may have been held up while this process was suspended, and the owner has to decide anew.
 */
export const MAX_RESENT_AGE_MS = 500;
/** Unsent bytes at which a link is closed, because the other side does not read. */
export const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Largest message in bytes: some hundred listings with all their runs. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;
/** Time in milliseconds after which a relay closes its connections to a minion without orders. */
export const IDLE_MINION_MS = 60_000;
