/** The operators' commands by name, and their clients. */

import type {Result} from 'neverthrow';

import {resolveSecret} from '@nutmegproxy/settings';
import {err, ok} from 'neverthrow';

import type {Command} from './CommandContext.ts';
import type {CommandOptions} from './CommandLine.ts';

import {AdminClient} from './AdminClient.ts';
import {runCatalogueCommand} from './CatalogueCommands.ts';
import {DEFAULT_SERVER, SERVER_VARIABLE, TOKEN_VARIABLE} from './CliConstants.ts';
import {runDrain, runStop, runUndrain, runUnstop} from './PlanCommands.ts';
import {runStatus, runTasks} from './StatusCommands.ts';
import {runTimeline} from './TimelineCommand.ts';

export const COMMANDS: Readonly<Record<string, Command>> = {
  catalogue: runCatalogueCommand,
  drain: runDrain,
  status: runStatus,
  stop: runStop,
  tasks: runTasks,
  timeline: runTimeline,
  undrain: runUndrain,
  unstop: runUnstop,
};

type Clients = readonly [AdminClient, ...AdminClient[]];

/** Creates clients for the given servers with the token from the file or the environment. */
export function createClients(
  {servers, tokenFile}: CommandOptions,
  environment: NodeJS.ProcessEnv,
): Result<Clients, string> {
  const reference = tokenFile === undefined ? {env: TOKEN_VARIABLE} : {file: tokenFile};
  const token = resolveSecret(reference, environment);
  if (token.isErr()) {
    return err(token.error.message);
  }
  const fallback = environment[SERVER_VARIABLE] ?? DEFAULT_SERVER;
  const [first = fallback, ...rest] = servers;
  const invalid = [first, ...rest].find((server) => !URL.canParse(server));
  if (invalid !== undefined) {
    return err(`expected a URL, found ${invalid}`);
  }
  const createClient = (server: string): AdminClient => new AdminClient(server, token.value);
  return ok([createClient(first), ...rest.map(createClient)]);
}
