/** Listen addresses in the settings. */

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits a `host:port` address into its IP address and port.
 *
 * @example
 * splitHostPort('[::1]:7001'); // {host: '::1', port: 7001}
 */
export function splitHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}
