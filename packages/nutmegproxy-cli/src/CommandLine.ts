/** Parses the command line into arguments and options. */

import meow from 'meow';

import {PROGRAM_VERSION} from './CliConstants.ts';
import {HELP} from './Help.ts';

/** Options passed to the commands. */
export interface CommandOptions {
  readonly json: boolean;
  readonly reason: string | undefined;
  readonly revision: number | undefined;
  readonly servers: readonly string[];
  readonly settings: string | undefined;
  readonly tokenFile: string | undefined;
  readonly trace: string | undefined;
  readonly waitSeconds: number | undefined;
}

export interface CommandLine {
  readonly args: readonly string[];
  readonly options: CommandOptions;
  readonly showHelp: () => void;
}

/**
 * Parses the command line; `--help` and `--version` print and exit the process.
 *
 * @example
 * const {options, words} = parseCommandLine(process.argv.slice(2));
 */
export function parseCommandLine(argv: readonly string[]): CommandLine {
  const {flags, input, showHelp} = meow(HELP, {
    allowUnknownFlags: false,
    argv: [...argv],
    description: 'Scheduler for latency-critical and batch work that share machines.',
    flags: {
      json: {default: false, type: 'boolean'},
      reason: {type: 'string'},
      revision: {type: 'number'},
      server: {isMultiple: true, type: 'string'},
      settings: {type: 'string'},
      tokenFile: {type: 'string'},
      trace: {type: 'string'},
      wait: {type: 'number'},
    },
    importMeta: {url: import.meta.url} as ImportMeta,
    pkg: {name: 'nutmegproxy', version: PROGRAM_VERSION},
  });
  const options = {
    json: flags.json,
    reason: flags.reason,
    revision: flags.revision,
    servers: flags.server ?? [],
    settings: flags.settings,
    tokenFile: flags.tokenFile,
    trace: flags.trace,
    waitSeconds: flags.wait,
  };
  return {
    args: input,
    options,
    showHelp: () => {
      showHelp(2);
    },
  };
}
