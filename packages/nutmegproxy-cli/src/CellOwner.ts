/** The value of a cell's owner key, as membership writes it and tasks read it. */

import type {IncarnationId} from '@nutmegproxy/core';
import type {StoredOwner} from '@nutmegproxy/tasks';

import {brand} from '@nutmegproxy/core';

/**
 * Reads the value of an owner key; undefined when it can't be read.
 *
 * @example
 * parseCellOwner(Buffer.from('{"epoch":2,"owner":"i1"}')); // {epoch: 2, owner: 'i1'}
 */
export function parseCellOwner(value: Buffer): StoredOwner | undefined {
  try {
    const parsed = JSON.parse(value.toString('utf8')) as Partial<Record<string, unknown>> | null;
    const {epoch, owner} = parsed ?? {};
    return typeof epoch === 'number' && typeof owner === 'string'
      ? {epoch, owner: brand<IncarnationId>(owner)}
      : undefined;
  } catch {
    return undefined;
  }
}
