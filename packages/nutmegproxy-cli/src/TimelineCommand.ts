/** The `timeline` command: shows the merged events of all processes. */

import type {ProcessTimeline} from '@nutmegproxy/admin';

import {writeFileSync} from 'node:fs';

import type {Command, CommandContext} from './CommandContext.ts';
import type {TimelineEntry} from './Timeline.ts';

import {reportFailure, reportUsage} from './CommandContext.ts';
import {EXIT_NOT_CONFIRMED, EXIT_OK} from './ExitCodes.ts';
import {formatEntry, mergeTimelines, toTraceEvents} from './Timeline.ts';

interface TimelineResponse {
  readonly processes: readonly ProcessTimeline[];
  readonly unheard: readonly string[];
}

function printTimeline(context: CommandContext, entries: readonly TimelineEntry[]): number {
  const {json, trace} = context.options;
  if (trace !== undefined) {
    try {
      writeFileSync(trace, JSON.stringify({traceEvents: toTraceEvents(entries)}));
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      return reportUsage(context, `cannot write ${trace}: ${code ?? 'unknown error'}`);
    }
    context.printError(`wrote ${entries.length} events to ${trace}`);
  } else if (json) {
    context.printLine(JSON.stringify(entries, undefined, 2));
  } else {
    entries.forEach((entry) => {
      context.printLine(formatEntry(entry));
    });
  }
  return EXIT_OK;
}

/** Prints the timeline; returns `EXIT_NOT_CONFIRMED` if a known process did not respond. */
export const runTimeline: Command = async (context) => {
  const call = {method: 'GET', path: '/v1/timeline?scope=all'} as const;
  const responses = await Promise.all(context.clients.map((client) => client.call(call)));
  const timelines: ProcessTimeline[] = [];
  const unheard = new Set<string>();
  for (const response of responses) {
    if (response.isErr()) {
      return reportFailure(context, response.error);
    }
    const {processes, unheard: unheardVms} = response.value as TimelineResponse;
    timelines.push(...processes);
    unheardVms.forEach((vm) => unheard.add(vm));
  }
  const code = printTimeline(context, mergeTimelines(timelines));
  const missing = [...unheard].filter((vm) => !timelines.some((each) => each.vm === vm));
  if (missing.length > 0) {
    context.printError(`no response from ${missing.join(', ')}`);
  }
  return code === EXIT_OK && missing.length > 0 ? EXIT_NOT_CONFIRMED : code;
};
