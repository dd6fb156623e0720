/** Sends a change and reports which VMs have applied it. */

import type {Confirmation} from '@nutmegproxy/catalogue';

import type {AdminCall} from './AdminClient.ts';
import type {CommandContext} from './CommandContext.ts';

import {DEFAULT_WAIT_MS} from './CliConstants.ts';
import {reportFailure} from './CommandContext.ts';
import {EXIT_NOT_CONFIRMED, EXIT_OK} from './ExitCodes.ts';

/** Response of the administration API to every change. */
export interface ChangeResponse {
  readonly change?: string;
  readonly confirmation: Confirmation;
  readonly revision: number;
}

function formatChange({confirmation, revision}: ChangeResponse): readonly string[] {
  const dataCentreLines = confirmation.dataCentres.map(({applied, dataCentre, heard, missing}) => {
    const appliedBy = applied.length > 0 ? `applied by ${applied.join(', ')}` : 'not applied';
    const unconfirmed = missing.length > 0 ? `; not confirmed: ${missing.join(', ')}` : '';
    return `  ${dataCentre}: ${heard ? appliedBy : 'no report'}${unconfirmed}`;
  });
  const state = confirmation.complete ? 'applied by all known VMs' : 'accepted';
  return [`revision ${revision} is ${state}`, ...dataCentreLines];
}

/** Sends a change, waits for confirmation and prints which VMs have applied it. */
export async function sendChange(context: CommandContext, call: AdminCall): Promise<number> {
  const {json, waitSeconds} = context.options;
  const waitMs = waitSeconds === undefined ? DEFAULT_WAIT_MS : Math.round(waitSeconds * 1_000);
  const response = await context.clients[0].call({...call, path: `${call.path}?waitMs=${waitMs}`});
  if (response.isErr()) {
    return reportFailure(context, response.error);
  }
  const change = response.value as ChangeResponse;
  const lines = json ? [JSON.stringify(change, undefined, 2)] : formatChange(change);
  for (const line of lines) {
    context.printLine(line);
  }
  return change.confirmation.complete ? EXIT_OK : EXIT_NOT_CONFIRMED;
}
