/** Selects the headers to forward: hop-by-hop headers belong to one connection only. */

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
/** Prefix of the headers that only this proxy may set on a response. */
const PROXY_PREFIX = 'nutmegproxy-';

/** Headers to forward; values keep their order. */
export type ForwardedHeaders = Record<string, string | string[]>;

function isForwarded(name: string, excluded: ReadonlySet<string>): boolean {
  return !HOP_BY_HOP_HEADERS.has(name) && !excluded.has(name) && !name.startsWith(PROXY_PREFIX);
}

/**
 * Removes hop-by-hop headers, headers listed in `connection`, and the proxy's own headers.
 *
 * @example
 * pickForwardedHeaders({connection: 'x-a', 'x-a': '1', accept: '*'}); // {accept: '*'}
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

/** Returns the value of a header, or undefined if it is missing or occurs more than once. */
export function getSingleHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}
