/** Reads the bytes sent between entry VMs from the kernel's socket statistics. */

import {execFileSync} from 'node:child_process';

const LIST_ARGUMENTS = ['-tinH', 'state', 'established'];
const MAX_LISTING_BYTES = 64 * 1024 * 1024;

function readCount(details: string, name: string): number {
  return Number(new RegExp(`\\b${name}:(\\d+)`).exec(details)?.[1] ?? 0);
}

/**
 * Returns the total bytes, in both directions, of all connections accepted on the given ports. Each
 * connection is counted at its accepting end only.
 */
export function sumBytes(listing: string, ports: ReadonlySet<number>): number {
  const lines = listing.split('\n');
  let bytes = 0;
  for (const [index, line] of lines.entries()) {
    const [, , local = ''] = line.trim().split(/\s+/);
    if (!/^\s/.test(line) && ports.has(Number(local.split(':').at(-1)))) {
      const details = lines[index + 1] ?? '';
      bytes += readCount(details, 'bytes_sent') + readCount(details, 'bytes_received');
    }
  }
  return bytes;
}

/** Returns the total bytes of open connections accepted on these ports; closed ones are not counted. */
export function readLinkBytes(ports: ReadonlySet<number>): number {
  const filter = [...ports].map((port) => `sport = :${port}`).join(' or ');
  const options = {encoding: 'utf8', maxBuffer: MAX_LISTING_BYTES} as const;
  return sumBytes(execFileSync('ss', [...LIST_ARGUMENTS, `( ${filter} )`], options), ports);
}
