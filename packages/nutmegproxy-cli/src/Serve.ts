/** The `serve` command: reads the settings, runs the entry process and stops it gracefully. */

import type {ResolvedSettings} from '@nutmegproxy/settings';
import type {Result} from 'neverthrow';

import {BrokenInvariant} from '@nutmegproxy/core';
import {describeSettingsFailure, readSettings, resolveSecret} from '@nutmegproxy/settings';
import {err, ok} from 'neverthrow';
import {readFileSync} from 'node:fs';

import type {EntryProcess, EntrySecrets} from './EntryProcess.ts';

import {CLI_EVENTS} from './CliEvents.ts';
import {startEntryProcess} from './EntryProcess.ts';
import {EXIT_BROKEN_INVARIANT, EXIT_FAILED, EXIT_OK, EXIT_USAGE} from './ExitCodes.ts';

const STOP_SIGNALS = ['SIGINT', 'SIGTERM'] as const;

export interface Printer {
  readonly printError: (text: string) => void;
  readonly printLine: (text: string) => void;
}

interface Configuration {
  readonly secrets: EntrySecrets;
  readonly settings: ResolvedSettings;
}

function readFile(path: string): Result<string, string> {
  try {
    return ok(readFileSync(path, 'utf8'));
  } catch (error) {
    return err(`cannot read ${path}: ${(error as NodeJS.ErrnoException).code ?? 'unknown error'}`);
  }
}

function readConfiguration(
  path: string,
  environment: NodeJS.ProcessEnv,
): Result<Configuration, string> {
  const settings = readFile(path).andThen((text) =>
    readSettings(text, path).mapErr(describeSettingsFailure),
  );
  return settings.andThen((value) => {
    const operator = resolveSecret(value.secrets.operator, environment);
    const peer = resolveSecret(value.secrets.peer, environment);
    const resolved = operator
      .mapErr(({message}) => `${path}: secrets.operator: ${message}`)
      .andThen((first) =>
        peer
          .map((second) => ({operator: first, peer: second}))
          .mapErr(({message}) => `${path}: secrets.peer: ${message}`),
      );
    return resolved.map((secrets) => ({secrets, settings: value}));
  });
}

/** Runs the entry process, and restarts it as a new incarnation after its removal. */
class Service {
  #current: EntryProcess | undefined;
  #isStopRequested = false;

  /** Serves until a planned stop; after a removal by peers it restarts as a new incarnation. */
  async run({secrets, settings}: Configuration, printer: Printer): Promise<number> {
    for (;;) {
      const started = await startEntryProcess(settings, secrets);
      if (started.isErr()) {
        printer.printError(started.error.message);
        return EXIT_FAILED;
      }
      this.#current = started.value;
      const {callers, operators, peers} = this.#current.ports;
      printer.printLine(`ready callers=${callers} operators=${operators} peers=${peers}`);
      if (this.#isStopRequested) {
        this.stop();
      }
      const reason = await this.#current.whenStopped;
      if (reason === 'stopped' || this.#isStopRequested) {
        return EXIT_OK;
      }
    }
  }

  stop(): void {
    this.#isStopRequested = true;
    void this.#current?.stop();
  }

  /** Exits on an uncaught error; invariant violations must not be caught anywhere else. */
  registerErrorHandlers(printError: Printer['printError']): void {
    const exitOnError = (error: unknown): void => {
      const message = error instanceof Error ? error.message : String(error);
      const stack = error instanceof Error ? error.stack : undefined;
      const kind = error instanceof BrokenInvariant ? 'invariant' : 'defect';
      printError(`${kind}: ${message}`);
      this.#current?.log.record(CLI_EVENTS.INVARIANT_BROKEN, {kind, message, stack});
      process.exit(EXIT_BROKEN_INVARIANT);
    };
    process.on('uncaughtException', exitOnError);
    process.on('unhandledRejection', exitOnError);
  }
}

/**
 * Serves until a planned stop is complete and returns the exit code. Prints
 * `ready callers=<port> operators=<port> peers=<port>` when the listeners are open.
 */
export async function serve(
  path: string | undefined,
  environment: NodeJS.ProcessEnv,
  printer: Printer,
): Promise<number> {
  if (path === undefined) {
    printer.printError('usage: serve --settings FILE');
    return EXIT_USAGE;
  }
  const configuration = readConfiguration(path, environment);
  if (configuration.isErr()) {
    printer.printError(configuration.error);
    return EXIT_USAGE;
  }
  const service = new Service();
  service.registerErrorHandlers(printer.printError);
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => {
      service.stop();
    });
  }
  return service.run(configuration.value, printer);
}
