/** The context of a command and functions that report results. */

import type {AdminCall, AdminCallFailure, AdminClient} from './AdminClient.ts';
import type {CommandOptions} from './CommandLine.ts';

import {
  EXIT_CONFLICT,
  EXIT_FAILED,
  EXIT_OK,
  EXIT_UNKNOWN,
  EXIT_UNREACHABLE,
  EXIT_USAGE,
} from './ExitCodes.ts';

export interface CommandContext {
  /** Positional arguments after the command's name. */
  readonly args: readonly string[];
  /** One client per given server; at least one. */
  readonly clients: readonly [AdminClient, ...AdminClient[]];
  readonly options: CommandOptions;
  readonly printError: (text: string) => void;
  readonly printLine: (text: string) => void;
}

/** Runs a command and returns its exit code. */
export type Command = (context: CommandContext) => Promise<number>;

const EXIT_CODE_BY_ERROR: Readonly<Record<string, number>> = {
  conflict: EXIT_CONFLICT,
  invalid: EXIT_USAGE,
  unavailable: EXIT_UNREACHABLE,
  unknown: EXIT_UNKNOWN,
};

interface Fault {
  readonly expected: string;
  readonly path: string;
}

/** Prints a failed call and returns the corresponding exit code. */
export function reportFailure(context: CommandContext, failure: AdminCallFailure): number {
  if (failure.kind === 'unreachable') {
    context.printError(`unreachable: ${failure.message}`);
    return EXIT_UNREACHABLE;
  }
  const faults = (failure.details.faults ?? []) as readonly Fault[];
  context.printError(`${failure.code}: ${failure.message}`);
  for (const {expected, path} of faults) {
    context.printError(`  ${path}: ${expected}`);
  }
  return EXIT_CODE_BY_ERROR[failure.code] ?? EXIT_FAILED;
}

/** Prints a usage error and returns its exit code. */
export function reportUsage(context: CommandContext, message: string): number {
  context.printError(`usage: ${message}`);
  return EXIT_USAGE;
}

/** Calls the first server and prints the response body, as JSON with `--json` or else with `print`. */
export async function callAndPrint(
  context: CommandContext,
  call: AdminCall,
  print: (body: unknown) => void,
): Promise<number> {
  const response = await context.clients[0].call(call);
  if (response.isErr()) {
    return reportFailure(context, response.error);
  }
  if (context.options.json) {
    context.printLine(JSON.stringify(response.value, undefined, 2));
  } else {
    print(response.value);
  }
  return EXIT_OK;
}
