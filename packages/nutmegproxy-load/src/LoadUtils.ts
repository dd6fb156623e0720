/** Helpers for load runs. */

import type {Catalogue, Scenario} from '@nutmegproxy/schema';

import {setTimeout as sleep} from 'node:timers/promises';

import {LOAD_TEAM, READY_POLL_MS, READY_TIMEOUT_MS} from './LoadConstants.ts';

/** Creates the catalogue with the entries of a scenario's traffic. */
export function createCatalogue({deployment, traffic}: Scenario): Catalogue {
  return {
    entries: traffic.map(({class: workClass, entry, idempotent, timeoutMs}) => ({
      class: workClass,
      id: entry,
      idempotent: idempotent === true,
      kind: 'request',
      limits: {timeoutMs},
      owner: LOAD_TEAM,
      service: deployment,
    })),
    teams: [{id: LOAD_TEAM}],
  };
}

/** Polls `condition` until it returns true; throws after `READY_TIMEOUT_MS`. */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`timed out waiting for ${description}`);
    }
    await sleep(READY_POLL_MS);
  }
}
