/** The `status` and `tasks` commands. */

import type {JobStatus} from '@nutmegproxy/schema';

import type {Command} from './CommandContext.ts';

import {callAndPrint} from './CommandContext.ts';

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

export const runStatus: Command = (context) =>
  callAndPrint(context, {method: 'GET', path: '/v1/status'}, (body) => {
    const status = body as Readonly<Record<string, unknown>>;
    for (const [name, value] of Object.entries(status)) {
      context.printLine(`${name}: ${formatValue(value)}`);
    }
  });

export const runTasks: Command = (context) =>
  callAndPrint(context, {method: 'GET', path: '/v1/tasks'}, (body) => {
    const {jobs} = body as {jobs: readonly JobStatus[]};
    for (const {cancelled, counts, entry, job} of jobs) {
      const state = cancelled ? 'cancelled' : 'open';
      context.printLine(`${job} ${entry} ${state} ${JSON.stringify(counts)}`);
    }
  });
