import type {EntryNode, NodeIdentity} from '@nutmegproxy/core';
import type {Catalogue} from '@nutmegproxy/schema';

import {brand, CommandBus, SILENT_EVENTS, SYSTEM_CLOCK} from '@nutmegproxy/core';
import {LocalNetwork, MemoryStore, StoreEngine} from '@nutmegproxy/standins';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Registry} from 'prom-client';

import type {CatalogueFeature} from '../../index.ts';

import {buildPage} from '../../CatalogueExchange.ts';
import {CatalogueSnapshot, registerCatalogue} from '../../index.ts';

const POLL_MS = 10;
const WAIT_LIMIT_MS = 20_000;
const PREFIX = '/nutmegproxy';

interface Process {
  readonly catalogue: CatalogueFeature;
  readonly node: EntryNode;
  readonly store: MemoryStore;
}

function createDocument(teams: readonly string[], timeoutMs = 500): Catalogue {
  return {
    drains: [],
    entries: teams.map((team) => ({
      class: 'latency-critical',
      id: `${team}-entry`,
      kind: 'request',
      limits: {timeoutMs},
      owner: team,
      service: 'oportuna',
    })),
    stops: [],
    teams: teams.map((id) => ({id})),
  };
}

async function waitFor(condition: () => boolean, description: string): Promise<void> {
  const attempts = WAIT_LIMIT_MS / POLL_MS;
  for (let attempt = 0; attempt < attempts && !condition(); attempt += 1) {
    await delay(POLL_MS);
  }
  assert.ok(condition(), description);
}

describe('CatalogueFeature', () => {
  let engine: StoreEngine;
  let network: LocalNetwork;
  let processes: Process[];

  function start(
    vm: string,
    dataCentre = 'dc-a',
    ownEngine = engine,
    members: readonly NodeIdentity[] = [],
  ): Process {
    const node: EntryNode = {
      bus: new CommandBus(),
      clock: SYSTEM_CLOCK,
      events: SILENT_EVENTS,
      identity: {
        dataCentre: brand(dataCentre),
        incarnation: brand(`${vm}-1`),
        region: brand('north'),
        vm: brand(vm),
      },
      metrics: new Registry(),
    };
    const store = new MemoryStore(SYSTEM_CLOCK, ownEngine);
    const mesh = network.attach(node.identity, SYSTEM_CLOCK);
    const catalogue = registerCatalogue(node, {
      keyPrefix: PREFIX,
      members: () => members,
      mesh,
      store,
    });
    const started = {catalogue, node, store};
    processes.push(started);
    return started;
  }

  function apply(process: Process, document: Catalogue, revision: number) {
    return process.catalogue.changes.apply(document, revision, SYSTEM_CLOCK.monotonic());
  }

  function revisionOf({catalogue}: Process): number {
    return catalogue.source.current().revision;
  }

  beforeEach(() => {
    engine = new StoreEngine();
    network = new LocalNetwork();
    processes = [];
  });

  afterEach(async () => {
    for (const {catalogue, store} of processes) {
      catalogue.unregister();
      await store.close();
    }
  });

  describe('changes', () => {
    it('accept only one of two concurrent changes to the same revision', async () => {
      const [a, b] = [start('entry-1'), start('entry-2')];
      const outcomes = await Promise.all([
        apply(a, createDocument(['one']), 0),
        apply(b, createDocument(['two']), 0),
      ]);
      assert.equal(outcomes.filter((outcome) => outcome.isOk()).length, 1);
      const failure = outcomes.find((outcome) => outcome.isErr())?._unsafeUnwrapErr();
      assert.deepEqual(failure, {current: 1, kind: 'conflict'});
      await waitFor(
        () => revisionOf(a) === 1 && revisionOf(b) === 1,
        'both processes apply revision 1',
      );
      assert.deepEqual(
        a.catalogue.source.current().toDocument(),
        b.catalogue.source.current().toDocument(),
      );
    });

    it('are accepted once when the response is lost after the write', async () => {
      const process = start('entry-1');
      process.store.faults.change({loseShare: 0.5, seed: 3});
      let revision = 0;
      for (let round = 0; round < 10; round += 1) {
        const outcome = await apply(process, createDocument(['one'], 100 + round), revision);
        if (outcome.isOk()) {
          revision = outcome.value.revision;
        } else {
          assert.equal(outcome.error.kind, 'unavailable');
        }
      }
      process.store.faults.change({loseShare: 0});
      const history = await process.catalogue.repository.readHistory();
      const records = history._unsafeUnwrap();
      assert.equal(records.length, revision);
      assert.equal(new Set(records.map(({change}) => change)).size, revision);
      assert.ok(revision > 0);
    });

    it('write only the changed team', async () => {
      const process = start('entry-1');
      const before = createDocument(['one', 'two', 'three']);
      await apply(process, before, 0);
      const after = {
        ...before,
        entries: before.entries.map((e) =>
          e.owner === 'two' ? {...e, limits: {timeoutMs: 9}} : e,
        ),
      };
      assert.equal((await apply(process, after, 1)).isOk(), true);
      const {parts} = process.catalogue.source.current();
      const revisions = [...parts].map(([team, part]) => `${team}@${part.revision}`).sort();
      assert.deepEqual(revisions, ['one@1', 'three@1', 'two@2']);
    });

    it('are atomic for more teams than a transaction may have operations', async () => {
      const [process, other] = [start('entry-1'), start('entry-2')];
      const names = Array.from({length: 180}, (_, index) => `team-${String(index)}`);
      const outcome = await apply(process, createDocument(names), 0);
      assert.equal(outcome.isOk() && outcome.value.revision, 1);
      await waitFor(() => revisionOf(other) === 1, 'the other process applies revision 1');
      assert.equal(other.catalogue.source.current().teams.size, 180);
      const removed = await apply(process, createDocument(['team-7']), 1);
      assert.equal(removed.isOk() && removed.value.revision, 2);
      await waitFor(() => revisionOf(other) === 2, 'the other process applies revision 2');
      assert.deepEqual([...other.catalogue.source.current().teams.keys()], ['team-7']);
    });

    it('keep the revision when the document is unchanged', async () => {
      const process = start('entry-1');
      await apply(process, createDocument(['one']), 0);
      const again = await apply(process, createDocument(['one']), 1);
      assert.deepEqual(again._unsafeUnwrap(), {revision: 1});
    });

    it('fail while the store is down and keep the applied revision', async () => {
      const process = start('entry-1');
      await apply(process, createDocument(['one']), 0);
      process.store.faults.change({down: true});
      const outcome = await apply(process, createDocument(['two']), 1);
      assert.equal(outcome._unsafeUnwrapErr().kind, 'unavailable');
      assert.equal(revisionOf(process), 1);
    });

    it('keep both drains that two operators add concurrently', async () => {
      const [a, b] = [start('entry-1'), start('entry-2')];
      await apply(a, createDocument(['one']), 0);
      const add = (process: Process, id: string) =>
        process.catalogue.changes.editPlans(
          ({drains, stops}) => ({drains: [...drains, {id, target: 'rack'}], stops}),
          SYSTEM_CLOCK.monotonic(),
        );
      const outcomes = await Promise.all([add(a, 'rack-1'), add(b, 'rack-2')]);
      assert.deepEqual(
        outcomes.map((outcome) => outcome.isOk()),
        [true, true],
      );
      await waitFor(() => revisionOf(a) === 3, 'revision 3');
      assert.equal(a.catalogue.source.current().isDrained('rack', 'rack-1'), true);
      assert.equal(a.catalogue.source.current().isDrained('rack', 'rack-2'), true);
    });
  });

  describe('distribution', () => {
    it('reaches a VM that is partitioned from the store through its peers', async () => {
      const [a, b] = [start('entry-1'), start('entry-2')];
      b.store.faults.change({down: true});
      await apply(a, createDocument(['one']), 0);
      await waitFor(() => revisionOf(b) === 1, 'entry-2 receives the revision from entry-1');
    });

    it('leaves the catalogue unknown until the store or a peer responds', async () => {
      const process = start('entry-1');
      process.store.faults.change({down: true});
      assert.equal(process.catalogue.source.isKnown(), false);
      await waitFor(() => !process.catalogue.isStoreReachable(), 'the store is unreachable');
      assert.equal(process.catalogue.source.isKnown(), false);
      process.store.faults.change({down: false});
      await waitFor(() => process.catalogue.source.isKnown(), 'the empty catalogue is known');
    });

    it('reaches a process that starts during a store outage', async () => {
      const a = start('entry-1');
      await apply(a, createDocument(['one', 'two']), 0);
      await apply(a, createDocument(['two']), 1);
      a.store.faults.change({down: true});
      const b = start('entry-2', 'dc-b');
      b.store.faults.change({down: true});
      await waitFor(() => revisionOf(b) === 2, 'entry-2 receives the revision from entry-1');
      assert.deepEqual([...b.catalogue.source.current().teams.keys()], ['two']);
    });

    it('ignores a lower revision in the store', async () => {
      const a = start('entry-1');
      await apply(a, createDocument(['one']), 0);
      await apply(a, createDocument(['two']), 1);
      const b = start('entry-2', 'dc-a', new StoreEngine());
      await waitFor(() => revisionOf(b) === 2, 'entry-2 receives the revision from entry-1');
      const outcome = await apply(b, createDocument(['three']), 2);
      assert.deepEqual(outcome._unsafeUnwrapErr(), {current: 0, kind: 'conflict'});
      assert.equal(revisionOf(b), 2);
    });
  });

  describe('confirmation', () => {
    it('lists the VMs that have applied the revision and those that are partitioned', async () => {
      const [a, b, c] = [start('entry-1'), start('entry-2'), start('entry-3', 'dc-b')];
      await apply(a, createDocument(['one']), 0);
      await waitFor(
        () => [a, b, c].every((each) => revisionOf(each) === 1),
        'all processes apply revision 1',
      );
      const now = SYSTEM_CLOCK.monotonic();
      const all = await a.catalogue.confirmer.confirm(1, WAIT_LIMIT_MS, now);
      assert.equal(all.complete, true);
      assert.deepEqual(
        all.dataCentres.map(({applied}) => applied),
        [['entry-1', 'entry-2'], ['entry-3']],
      );
      c.store.faults.change({down: true});
      for (const vm of ['entry-1', 'entry-2']) {
        network.setPassage(brand(vm), brand('entry-3'), 'hold');
        network.setPassage(brand('entry-3'), brand(vm), 'hold');
      }
      await apply(a, createDocument(['two']), 1);
      const partial = await a.catalogue.confirmer.confirm(2, 0, SYSTEM_CLOCK.monotonic());
      assert.equal(partial.complete, false);
      const partitioned = partial.dataCentres.find(({dataCentre}) => dataCentre === 'dc-b');
      assert.deepEqual(partitioned, {
        applied: [],
        dataCentre: 'dc-b',
        heard: false,
        missing: ['entry-3'],
      });
    });

    it('lists a member of the data centre that is neither linked nor in the directory', async () => {
      const unlinked: NodeIdentity = {
        dataCentre: brand('dc-a'),
        incarnation: brand('entry-9-1'),
        region: brand('north'),
        vm: brand('entry-9'),
      };
      const a = start('entry-1', 'dc-a', engine, [unlinked]);
      await apply(a, createDocument(['one']), 0);
      const partial = await a.catalogue.confirmer.confirm(1, 0, SYSTEM_CLOCK.monotonic());
      assert.equal(partial.complete, false);
      assert.deepEqual(partial.dataCentres[0]?.missing, ['entry-9']);
    });
  });
});

describe('buildPage', () => {
  it('splits a large catalogue into pages that together contain every team', () => {
    const entries = Array.from({length: 400}, (_, index) => ({
      class: 'batch' as const,
      id: `entry-${index}`,
      kind: 'task' as const,
      limits: {cpu: 1, memoryMb: 1},
      owner: 'any',
    }));
    const teams = Array.from({length: 20}, (_, index) => ({
      entries,
      revision: 1,
      team: {id: `team-${String(index).padStart(2, '0')}`},
    }));
    const record = {
      at: 0,
      by: '',
      change: 'c',
      changedTeams: [],
      plans: false,
      removedTeams: [],
      revision: 1,
    };
    const snapshot = CatalogueSnapshot.EMPTY.apply({record, removed: [], since: 0, teams});
    const seen: string[] = [];
    let query: {after?: string; revision?: number; since: number} = {since: 0};
    for (let pages = 0; pages < 20; pages += 1) {
      const page = buildPage(snapshot, query);
      seen.push(...page.teams.map(({team}) => team.id));
      if (page.next === undefined) {
        break;
      }
      query = {after: page.next, revision: 1, since: 0};
    }
    assert.deepEqual(
      seen,
      teams.map(({team}) => team.id),
    );
  });
});
