/** The `catalogue` command: reads, checks and applies the catalogue and shows its history. */

import type {DiffLine} from '@nutmegproxy/catalogue';
import type {Catalogue, CatalogueRecord} from '@nutmegproxy/schema';
import type {ParseError} from 'jsonc-parser';
import type {Result} from 'neverthrow';

import {parse, printParseErrorCode} from 'jsonc-parser';
import {err, ok} from 'neverthrow';
import {readFileSync} from 'node:fs';

import type {Command, CommandContext} from './CommandContext.ts';

import {sendChange} from './ChangeReport.ts';
import {callAndPrint, reportFailure, reportUsage} from './CommandContext.ts';

interface CatalogueResponse {
  readonly catalogue: Catalogue;
  readonly revision: number;
}

interface CheckResponse {
  readonly differences: readonly DiffLine[];
  readonly revision: number;
}

function readDocument(path: string): Result<unknown, string> {
  try {
    const errors: ParseError[] = [];
    const text = readFileSync(path, 'utf8');
    const document: unknown = parse(text, errors, {allowTrailingComma: true});
    const [first] = errors;
    return first === undefined
      ? ok(document)
      : err(`${path}: ${printParseErrorCode(first.error)} at offset ${first.offset}`);
  } catch (error) {
    return err(`cannot read ${path}: ${(error as NodeJS.ErrnoException).code ?? 'unknown error'}`);
  }
}

function printDifferences(context: CommandContext, {differences, revision}: CheckResponse): void {
  context.printLine(`compared to revision ${revision}: ${differences.length} differences`);
  for (const {id, kind, sign} of differences) {
    context.printLine(`${sign} ${kind} ${id}`);
  }
}

const get: Command = (context) =>
  callAndPrint(context, {method: 'GET', path: '/v1/catalogue'}, (body) => {
    const {catalogue, revision} = body as CatalogueResponse;
    context.printError(`revision ${revision}`);
    context.printLine(JSON.stringify(catalogue, undefined, 2));
  });

const check: Command = async (context) => {
  const [path] = context.args;
  if (path === undefined) {
    return reportUsage(context, 'catalogue check FILE');
  }
  const document = readDocument(path);
  if (document.isErr()) {
    return reportUsage(context, document.error);
  }
  const call = {
    body: {catalogue: document.value},
    method: 'POST',
    path: '/v1/catalogue/check',
  } as const;
  return callAndPrint(context, call, (body) => {
    printDifferences(context, body as CheckResponse);
  });
};

const apply: Command = async (context) => {
  const [path] = context.args;
  const {json, revision} = context.options;
  if (path === undefined || revision === undefined) {
    return reportUsage(context, 'catalogue apply FILE --revision N');
  }
  const document = readDocument(path);
  if (document.isErr()) {
    return reportUsage(context, document.error);
  }
  const catalogue = document.value;
  const checked = await context.clients[0].call({
    body: {catalogue},
    method: 'POST',
    path: '/v1/catalogue/check',
  });
  if (checked.isErr()) {
    return reportFailure(context, checked.error);
  }
  if (!json) {
    printDifferences(context, checked.value as CheckResponse);
  }
  const body = {catalogue, expectedRevision: revision};
  return sendChange(context, {body, method: 'POST', path: '/v1/catalogue'});
};

const history: Command = (context) =>
  callAndPrint(context, {method: 'GET', path: '/v1/catalogue/history'}, (body) => {
    const {changes} = body as {changes: readonly CatalogueRecord[]};
    for (const {at, by, change, changedTeams, plans, removedTeams, revision} of changes) {
      const teams = [...changedTeams, ...removedTeams.map((team) => `-${team}`)].join(',');
      const parts = `teams=${teams || 'none'} plans=${plans ? 'yes' : 'no'}`;
      context.printLine(`${revision} ${new Date(at).toISOString()} ${by} ${change} ${parts}`);
    }
  });

const ACTIONS: Readonly<Record<string, Command>> = {apply, check, get, history};

/** Runs the action given by the first argument. */
export const runCatalogueCommand: Command = async (context) => {
  const [action = '', ...args] = context.args;
  const run = Object.hasOwn(ACTIONS, action) ? ACTIONS[action] : undefined;
  return run === undefined
    ? reportUsage(context, 'catalogue get|apply|check|history')
    : run({...context, args});
};
