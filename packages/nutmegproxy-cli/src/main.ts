/** Entry point of the `nutmegproxy` command. */

import {parseCommandLine} from './CommandLine.ts';
import {COMMANDS, createClients} from './Commands.ts';
import {EXIT_USAGE} from './ExitCodes.ts';
import {runExplain} from './ExplainCommand.ts';
import {serve} from './Serve.ts';

function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function run(argv: readonly string[]): Promise<number> {
  const {args, options, showHelp} = parseCommandLine(argv);
  const [name, ...rest] = args;
  if (name === 'serve') {
    return serve(options.settings, process.env, {printError, printLine});
  }
  if (name === 'explain') {
    return runExplain(rest, {printError, printLine});
  }
  const command = name !== undefined && Object.hasOwn(COMMANDS, name) ? COMMANDS[name] : undefined;
  if (command === undefined) {
    showHelp();
    printError(name === undefined ? 'usage: missing command' : `usage: unknown command ${name}`);
    return EXIT_USAGE;
  }
  const clients = createClients(options, process.env);
  if (clients.isErr()) {
    printError(`usage: ${clients.error}`);
    return EXIT_USAGE;
  }
  return command({args: rest, clients: clients.value, options, printError, printLine});
}

const argv = process.argv.slice(2);
void run(argv).then((code) => {
  if (argv[0] === 'serve') {
    // The planned stop is complete; remaining timers must not keep the process alive.
    process.exit(code);
  }
  process.exitCode = code;
});
