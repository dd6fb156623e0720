/**
 * How the messages of a link are written. Owner and relay agree on it while the link is opened: a VM of an
 * earlier version knows `inline` alone.
 */

import {Packr} from 'msgpackr';

/** Header of the request that opens a link, and of its response; either side leaves out what it doesn't know. */
export const ENCODING_HEADER = 'nutmegproxy-relay-encoding';

/**
 * `inline`: each message describes the shapes of its objects. `shared-1`: both sides know `SHARED_SHAPES`, and
 * the payload of a job is sent once.
 */
export type RelayEncoding = 'inline' | 'shared-1';

/** The encoding that this version prefers. */
export const PREFERRED_ENCODING: RelayEncoding = 'shared-1';

/** Keys of the objects in messages, in their order. A change of this list needs a new encoding. */
const SHARED_SHAPES: readonly (readonly string[])[] = [
  ['orders', 'sentAt'],
  ['orders', 'payloads', 'sentAt'],
  ['number', 'text'],
  ['kind', 'order', 'target', 'id'],
  ['address', 'dataCentre', 'id'],
  ['ackedThrough', 'token', 'untilMs', 'waitMs'],
  ['checkpoint', 'number', 'payload', 'task', 'ticket', 'token', 'untilMs'],
  ['number', 'task', 'token'],
  ['number', 'share', 'task', 'token'],
  ['outcomes'],
  ['clockMs', 'id'],
  ['listing', 'id'],
  ['failure', 'id'],
  ['bornAt', 'clockMs', 'ended', 'mayOmitResults', 'running'],
  ['checkpoint', 'number', 'percent', 'reading', 'task'],
  ['checkpoint', 'number', 'outcome', 'sequence', 'task'],
  ['index', 'job', 'occurrence', 'step'],
];

/** Serializers of messages; objects of any other shape are described in their message. */
export const PACKRS: Readonly<Record<RelayEncoding, Packr>> = {
  inline: new Packr({useRecords: true}),
  'shared-1': new Packr({
    maxSharedStructures: SHARED_SHAPES.length,
    structures: SHARED_SHAPES.map((keys) => [...keys]),
    useRecords: true,
  }),
};

/**
 * Returns the encoding that the other side of a link names in its headers.
 *
 * @example
 * readEncoding({}); // 'inline'
 */
export function readEncoding(
  headers: Readonly<Record<string, readonly string[] | string | undefined>>,
): RelayEncoding {
  return headers[ENCODING_HEADER] === PREFERRED_ENCODING ? PREFERRED_ENCODING : 'inline';
}
