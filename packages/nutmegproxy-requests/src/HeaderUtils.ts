/** Headers that belong to one connection and must not be passed on. */

import type {IncomingHttpHeaders} from 'node:http';

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
/** Headers that only this program may set on an answer. */
const PROXY_PREFIX = 'nutmegproxy-';

/** Headers to pass on; values keep their order. */
export type ForwardedHeaders = Record<string, string | string[]>;

function isForwarded(name: string, excluded: ReadonlySet<string>): boolean {
  return !HOP_BY_HOP_HEADERS.has(name) && !excluded.has(name) && !name.startsWith(PROXY_PREFIX);
}

/**
 * Drops the headers of the connection, those that `connection` names, and the proxy's own.
 *
 * @example
 * stripHeaders({connection: 'x-trace', 'x-trace': '1', accept: 'text/html'}); // {accept: 'text/html'}
 */
export function pickForwardedHeaders(headers: IncomingHttpHeaders): ForwardedHeaders {
  const connection = headers.connection ?? '';
  const connectionOptions = new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
  const forwarded: ForwardedHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && isForwarded(name, connectionOptions)) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}

/** The only value of a header, or undefined when it is missing or stands more than once. */
export function getSingleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}
