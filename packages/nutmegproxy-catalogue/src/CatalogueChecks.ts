/** Validates a catalogue document: the schema first, then the rules between its parts. */

import type {Catalogue, Entry, Limits, Team} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {validateCatalogue} from '@nutmegproxy/schema';
import {err, ok} from 'neverthrow';

/** One validation error of a document. */
export interface CatalogueFault {
  readonly expected: string;
  /** JSON pointer, such as `/entries/3/owner`. */
  readonly path: string;
}

type LimitName = keyof Limits;

/** Maximum number of faults returned; a document can contain thousands. */
const MAX_FAULTS = 100;

const INAPPLICABLE_LIMITS: Readonly<Record<Entry['kind'], readonly LimitName[]>> = {
  request: ['accelerators', 'attempts', 'cpu', 'memoryMb', 'runTimeMs'],
  task: ['bodyBytes', 'queue', 'timeoutMs'],
};

const QUOTA_LIMITS = ['accelerators', 'cpu', 'memoryMb'] as const;

function findDuplicates(path: string, field: string, ids: readonly string[]): CatalogueFault[] {
  const seen = new Set<string>();
  return ids.flatMap((id, index) => {
    if (!seen.has(id)) {
      seen.add(id);
      return [];
    }
    return [
      {expected: `expected a unique value, found ${id} again`, path: `/${path}/${index}/${field}`},
    ];
  });
}

function checkRequest(entry: Entry, path: string): CatalogueFault[] {
  const faults: CatalogueFault[] = [];
  if (entry.service === undefined || entry.service === '') {
    faults.push({
      expected: 'expected the service that handles the request',
      path: `${path}/service`,
    });
  }
  if (entry.checkpoint === true) {
    faults.push({expected: 'expected no checkpoint for a request', path: `${path}/checkpoint`});
  }
  return faults;
}

function checkTask(entry: Entry, path: string): CatalogueFault[] {
  const faults: CatalogueFault[] = [];
  if (entry.service !== undefined) {
    faults.push({expected: 'expected no service for a task', path: `${path}/service`});
  }
  for (const name of ['cpu', 'memoryMb'] as const) {
    if (entry.limits[name] === undefined) {
      faults.push({
        expected: `expected a declared ${name} for a task`,
        path: `${path}/limits/${name}`,
      });
    }
  }
  return faults;
}

const KIND_CHECKS: Readonly<
  Record<Entry['kind'], (entry: Entry, path: string) => CatalogueFault[]>
> = {request: checkRequest, task: checkTask};

function checkQuota(entry: Entry, team: Team, path: string): CatalogueFault[] {
  return QUOTA_LIMITS.flatMap((name) => {
    const quota = team.quota?.[name];
    const limit = entry.limits[name] ?? 0;
    const isWithinQuota = quota === undefined || limit <= quota;
    const expected = `expected at most ${quota ?? 0}, the quota of team ${team.id}`;
    return isWithinQuota ? [] : [{expected, path: `${path}/limits/${name}`}];
  });
}

function checkEntry(
  entry: Entry,
  path: string,
  teams: ReadonlyMap<string, Team>,
): CatalogueFault[] {
  const limitFaults = INAPPLICABLE_LIMITS[entry.kind]
    .filter((name) => entry.limits[name] !== undefined)
    .map((name) => ({
      expected: `expected no ${name} for a ${entry.kind}`,
      path: `${path}/limits/${name}`,
    }));
  const team = teams.get(entry.owner);
  const ownerFaults =
    team === undefined
      ? [
          {
            expected: `expected a team of this catalogue, found ${entry.owner}`,
            path: `${path}/owner`,
          },
        ]
      : checkQuota(entry, team, path);
  return [...ownerFaults, ...KIND_CHECKS[entry.kind](entry, path), ...limitFaults];
}

function checkSemantics(document: Catalogue): CatalogueFault[] {
  const teams = new Map(document.teams.map((team) => [team.id, team]));
  const drains = (document.drains ?? []).map(({id, target}) => `${target} ${id}`);
  const stops = (document.stops ?? []).map(({vm}) => vm);
  const entryIds = document.entries.map(({id}) => id);
  return [
    ...findDuplicates(
      'teams',
      'id',
      document.teams.map(({id}) => id),
    ),
    ...findDuplicates('entries', 'id', entryIds),
    ...findDuplicates('drains', 'id', drains),
    ...findDuplicates('stops', 'vm', stops),
    ...document.entries.flatMap((entry, index) => checkEntry(entry, `/entries/${index}`, teams)),
  ];
}

/**
 * Validates a document. Returns at most `MAX_FAULTS` faults, each with its path and what was
 * expected there.
 *
 * @example
 * const checked = checkCatalogue(JSON.parse(text));
 */
export function checkCatalogue(document: unknown): Result<Catalogue, readonly CatalogueFault[]> {
  if (!validateCatalogue(document)) {
    const violations = (validateCatalogue.errors ?? []).slice(0, MAX_FAULTS);
    return err(
      violations.map(({instancePath, message, params}) => {
        const name = params.missingProperty ?? params.additionalProperty;
        const path = typeof name === 'string' ? `${instancePath}/${name}` : instancePath;
        return {expected: message ?? 'expected a different value', path};
      }),
    );
  }
  const faults = checkSemantics(document);
  return faults.length > 0 ? err(faults.slice(0, MAX_FAULTS)) : ok(document);
}
