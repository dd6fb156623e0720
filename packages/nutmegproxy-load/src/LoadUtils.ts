/** Helpers of the load runs. */

import type {Catalogue, Scenario} from '@nutmegproxy/schema';

import {setTimeout as sleep} from 'node:timers/promises';

import {LOAD_TEAM, READY_POLL_MS, READY_TIMEOUT_MS} from './LoadConstants.ts';

/** The catalogue that a scenario's traffic needs. */
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

/** Asks again until `condition` holds; throws when it takes too long. */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) {
      throw new Error(`${description}: not there in time`);
    }
    await sleep(READY_POLL_MS);
  }
}
