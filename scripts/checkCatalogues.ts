/**
 * Checks that docs/EVENTS.md and docs/invariant-codes.json match the code.
 * With --write, updates them.
 */

import type {EventKind} from '@nutmegproxy/core';

import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {pathToFileURL} from 'node:url';

const EVENTS_PAGE = 'docs/EVENTS.md';
const INVARIANT_CATALOGUE = 'docs/invariant-codes.json';
/** Matches lines of doc comments, whose examples must not count as calls. */
const COMMENT_LINE = /^\s*\*.*$/gm;
const INVARIANT_CALL = /\binvariant\(\s*[\s\S]*?,\s*'([^']+)',?\s*\)/g;

function findSources(folder: string): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap((entry) => {
    const path = join(folder, entry.name);
    const skipped = ['__tests__', 'generated', 'node_modules'].includes(entry.name);
    if (skipped) {
      return [];
    }
    if (entry.isDirectory()) {
      return findSources(path);
    }
    return path.endsWith('.ts') ? [path] : [];
  });
}

function isEventKind(value: unknown): value is EventKind {
  return typeof value === 'object' && value !== null && 'code' in value && 'text' in value;
}

async function readEvents(sources: readonly string[]): Promise<EventKind[]> {
  const files = sources.filter((path) => path.endsWith('Events.ts'));
  const kinds: EventKind[] = [];
  for (const file of files) {
    const module = (await import(pathToFileURL(file).href)) as Record<string, unknown>;
    for (const table of Object.values(module)) {
      const values = typeof table === 'object' && table !== null ? Object.values(table) : [];
      kinds.push(...values.filter(isEventKind));
    }
  }
  return kinds.sort((a, b) => a.code - b.code);
}

function renderEvents(kinds: readonly EventKind[]): string {
  const frequent = kinds.filter(({isFrequent}) => isFrequent === true).map(({code}) => code);
  const rows = kinds.map(({code, level, text}) => `| ${code} | ${level} | ${text} |`);
  return [
    '# Events',
    '',
    'Written by `npm run check:catalogues -- --write` from the `…Events.ts` files.',
    '',
    'Frequent events, whose log lines are dropped first when more is logged than `log.bytesPerSecond` allows:',
    `${frequent.join(', ')}.`,
    '',
    '| code | level | meaning |',
    '| ---- | ----- | ------- |',
    ...rows,
    '',
  ].join('\n');
}

function readInvariants(sources: readonly string[]): string[] {
  const messages = sources.flatMap((path) =>
    [...readFileSync(path, 'utf8').replace(COMMENT_LINE, '').matchAll(INVARIANT_CALL)].map(
      (match) => match[1] ?? '',
    ),
  );
  return [...new Set(messages)].filter((message) => message.includes(': ')).sort();
}

function numberInvariants(messages: readonly string[]): string {
  const current = JSON.parse(readFileSync(INVARIANT_CATALOGUE, 'utf8')) as Record<string, string>;
  const known = new Set(Object.values(current));
  // Numbers are never reused, so entries remain after their message is removed from the code.
  let next = Math.max(0, ...Object.keys(current).map(Number)) + 1;
  for (const message of messages.filter((each) => !known.has(each))) {
    current[String(next)] = message;
    next += 1;
  }
  return `${JSON.stringify(current, undefined, 2)}\n`;
}

const sources = ['packages', 'platform'].flatMap(findSources);
const events = await readEvents(sources);
const codes = events.map(({code}) => code);
const repeated = codes.filter((code, index) => codes.indexOf(code) !== index);
const wanted = new Map([
  [EVENTS_PAGE, renderEvents(events)],
  [INVARIANT_CATALOGUE, numberInvariants(readInvariants(sources))],
]);
const write = process.argv.includes('--write');
const stale = [...wanted].filter(([path, text]) => readFileSync(path, 'utf8') !== text);
if (write) {
  for (const [path, text] of stale) {
    writeFileSync(path, text);
  }
}
if (repeated.length > 0 || (stale.length > 0 && !write)) {
  console.error(`repeated event codes: ${repeated.join(', ') || 'none'}`);
  console.error(
    `stale files, run npm run check:catalogues -- --write: ${stale.map(([p]) => p).join(', ')}`,
  );
  process.exit(1);
}
console.log(`catalogues are current: ${events.length} events and all invariants`);
