import type {Catalogue} from '@nutmegproxy/schema';

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {checkCatalogue, listDifferences} from '../../index.ts';

const VALID: Catalogue = {
  entries: [
    {
      class: 'latency-critical',
      id: 'alert',
      kind: 'request',
      limits: {timeoutMs: 500},
      owner: 'alerts',
      service: 'oportuna',
    },
    {class: 'batch', id: 'digest', kind: 'task', limits: {cpu: 2, memoryMb: 512}, owner: 'alerts'},
  ],
  teams: [{id: 'alerts', quota: {cpu: 100}}],
};

function faultPaths(document: unknown): string[] {
  return checkCatalogue(document)
    ._unsafeUnwrapErr()
    .map(({path}) => path);
}

describe('checkCatalogue', () => {
  it('accepts a valid document', () => {
    assert.equal(checkCatalogue(VALID).isOk(), true);
  });

  describe('returns the path of', () => {
    const [alert, digest] = VALID.entries;
    const cases: readonly [string, unknown, string][] = [
      ['an unknown field', {...VALID, colour: 1}, '/colour'],
      ['an unknown owner', {...VALID, teams: []}, '/entries/0/owner'],
      ['a duplicate entry', {...VALID, entries: [alert, digest, alert]}, '/entries/2/id'],
      ['a duplicate team', {...VALID, teams: [...VALID.teams, {id: 'alerts'}]}, '/teams/1/id'],
      [
        'a request without a service',
        {...VALID, entries: [{...alert, service: ''}]},
        '/entries/0/service',
      ],
      [
        'a limit that does not apply to the kind',
        {...VALID, entries: [{...alert, limits: {cpu: 1}}]},
        '/entries/0/limits/cpu',
      ],
      [
        "a task limit above the team's quota",
        {...VALID, entries: [{...digest, limits: {cpu: 101, memoryMb: 1}}]},
        '/entries/0/limits/cpu',
      ],
      [
        'a task without declared memory',
        {...VALID, entries: [{...digest, limits: {cpu: 1}}]},
        '/entries/0/limits/memoryMb',
      ],
      ['a duplicate stop', {...VALID, stops: [{vm: 'a'}, {vm: 'a'}]}, '/stops/1/vm'],
    ];
    for (const [name, document, path] of cases) {
      it(name, () => {
        assert.ok(faultPaths(document).includes(path), faultPaths(document).join(' '));
      });
    }
  });
});

describe('listDifferences', () => {
  it('lists added, removed and changed items', () => {
    const [alert] = VALID.entries;
    const after: Catalogue = {
      ...VALID,
      drains: [{id: 'rack-1', target: 'rack'}],
      entries: alert === undefined ? [] : [{...alert, limits: {timeoutMs: 900}}],
    };
    const lines = listDifferences(VALID, after).map(({id, kind, sign}) => `${sign}${kind} ${id}`);
    assert.deepEqual(lines, ['-entry digest', '~entry alert', '+drain rack rack-1']);
  });
});
