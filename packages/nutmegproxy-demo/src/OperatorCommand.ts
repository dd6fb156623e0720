/** Runs the `nutmegproxy` command as an operator would. */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';

import {CLI_PROGRAM} from './DemoConstants.ts';
import {printLine} from './DemoUtils.ts';

export interface CommandResult {
  readonly code: number;
  readonly output: string;
}

/** Runs `nutmegproxy` with the given arguments and returns its exit code and output. */
export async function runCommand(
  args: readonly string[],
  environment: NodeJS.ProcessEnv,
): Promise<CommandResult> {
  const child = spawn(process.execPath, [CLI_PROGRAM, ...args], {
    env: environment,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit') as Promise<[null | number]>;
  const [output, [code]] = await Promise.all([text(child.stdout), exited]);
  return {code: code ?? -1, output};
}

/** Runs a command and prints it with its output; rejects if it exits with a nonzero code. */
export async function runOperatorCommand(
  args: readonly string[],
  environment: NodeJS.ProcessEnv,
): Promise<void> {
  printLine(`$ nutmegproxy ${args.join(' ')}`);
  const {code, output} = await runCommand(args, environment);
  printLine(output.trimEnd().replaceAll(/^/gm, '  '));
  if (code !== 0) {
    throw new Error(`the command exited with code ${code}`);
  }
}
