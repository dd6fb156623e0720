/** The `explain` command: shows what happened to a request or job, from files or standard input. */

import {readFileSync} from 'node:fs';

import type {Printer} from './Serve.ts';

import {EXIT_FAILED, EXIT_OK, EXIT_USAGE} from './ExitCodes.ts';
import {explain} from './Explain.ts';

const STANDARD_INPUT = 0;

/** Prints the relevant log lines and returns the exit code; needs no server. */
export function runExplain(args: readonly string[], printer: Printer): number {
  const [id, ...files] = args;
  if (id === undefined) {
    printer.printError('usage: explain ID [FILE...]');
    return EXIT_USAGE;
  }
  let texts: string[];
  try {
    const sources = files.length === 0 ? [STANDARD_INPUT] : files;
    texts = sources.flatMap((source) => readFileSync(source, 'utf8').split('\n'));
  } catch (error) {
    printer.printError(error instanceof Error ? error.message : String(error));
    return EXIT_FAILED;
  }
  const explanation = explain(texts, id);
  if (explanation.length === 0) {
    printer.printError(`no log line contains ${id}`);
    return EXIT_FAILED;
  }
  for (const line of explanation) {
    printer.printLine(line);
  }
  return EXIT_OK;
}
