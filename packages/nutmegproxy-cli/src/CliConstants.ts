/** Limits and defaults of the command line program. */

export const DEFAULT_SERVER = 'http://127.0.0.1:7001';
export const SERVER_VARIABLE = 'NUTMEGPROXY_SERVER';
export const TOKEN_VARIABLE = 'NUTMEGPROXY_TOKEN';
export const CALL_TIMEOUT_MS = 45_000;
export const DEFAULT_WAIT_MS = 9_000;
/** Maximum duration of a planned stop; the process then closes without waiting for open work. */
export const STOP_LIMIT_MS = 3_600_000;
export const PROGRAM_VERSION = '0.1.0';
