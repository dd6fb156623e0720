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
const LIMIT_MS = 20_000;
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

async function waitFor(condition: () => boolean, what: string): Promise<void> {
  const attempts = LIMIT_MS / POLL_MS;
  for (let attempt = 0; attempt < attempts && !condition(); attempt += 1) {
    await delay(POLL_MS);
  }
  assert.ok(condition(), what);
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
    it('accept one of two operators who race on a revision', async () => {
      const [a, b] = [start('entry-1'), start('entry-2')];
      const outcomes = await Promise.all([
        apply(a, createDocument(['one']), 0),
        apply(b, createDocument(['two']), 0),
      ]);
      assert.equal(outcomes.filter((outcome) => outcome.isOk()).length, 1);
      const failure = outcomes.find((outcome) => outcome.isErr())?._unsafeUnwrapErr();
      assert.deepEqual(failure, {current: 1, kind: 'conflict'});
      await waitFor(() => revisionOf(a) === 1 && revisionOf(b) === 1, 'both know revision 1');
      assert.deepEqual(
        a.catalogue.source.current().toDocument(),
        b.catalogue.source.current().toDocument(),
      );
    });

    it('are accepted once when the answer is lost after the write', async () => {
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

    it('write only the team that changed', async () => {
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

    it('are accepted in one step for more teams than one transaction holds operations', async () => {
      const [process, other] = [start('entry-1'), start('entry-2')];
      const names = Array.from({length: 180}, (_, index) => `team-${String(index)}`);
      const outcome = await apply(process, createDocument(names), 0);
      assert.equal(outcome.isOk() && outcome.value.revision, 1);
      await waitFor(() => revisionOf(other) === 1, 'the other process knows revision 1');
      assert.equal(other.catalogue.source.current().teams.size, 180);
      const removed = await apply(process, createDocument(['team-7']), 1);
      assert.equal(removed.isOk() && removed.value.revision, 2);
      await waitFor(() => revisionOf(other) === 2, 'the other process knows revision 2');
      assert.deepEqual([...other.catalogue.source.current().teams.keys()], ['team-7']);
    });

    it('change nothing when the document is the same', async () => {
      const process = start('entry-1');
      await apply(process, createDocument(['one']), 0);
      const again = await apply(process, createDocument(['one']), 1);
      assert.deepEqual(again._unsafeUnwrap(), {revision: 1});
    });

    it('are refused while the store is down, and leave the catalogue in force', async () => {
      const process = start('entry-1');
      await apply(process, createDocument(['one']), 0);
      process.store.faults.change({down: true});
      const outcome = await apply(process, createDocument(['two']), 1);
      assert.equal(outcome._unsafeUnwrapErr().kind, 'unavailable');
      assert.equal(revisionOf(process), 1);
    });

    it('keep the drains that two operators add at once', async () => {
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
    it('reaches a VM that is cut off from the store, through its peers', async () => {
      const [a, b] = [start('entry-1'), start('entry-2')];
      b.store.faults.change({down: true});
      await apply(a, createDocument(['one']), 0);
      await waitFor(() => revisionOf(b) === 1, 'entry-2 heard from entry-1');
    });

    it('is not known to a process that has heard neither the store nor a peer', async () => {
      const process = start('entry-1');
      process.store.faults.change({down: true});
      assert.equal(process.catalogue.source.isKnown(), false);
      await waitFor(() => !process.catalogue.isStoreAnswering(), 'the store does not answer');
      assert.equal(process.catalogue.source.isKnown(), false);
      process.store.faults.change({down: false});
      await waitFor(() => process.catalogue.source.isKnown(), 'the empty catalogue is known');
    });

    it('reaches a process that starts during an outage of the store', async () => {
      const a = start('entry-1');
      await apply(a, createDocument(['one', 'two']), 0);
      await apply(a, createDocument(['two']), 1);
      a.store.faults.change({down: true});
      const b = start('entry-2', 'dc-b');
      b.store.faults.change({down: true});
      await waitFor(() => revisionOf(b) === 2, 'entry-2 heard from entry-1');
      assert.deepEqual([...b.catalogue.source.current().teams.keys()], ['two']);
    });

    it('never goes back to a lower revision of the store', async () => {
      const a = start('entry-1');
      await apply(a, createDocument(['one']), 0);
      await apply(a, createDocument(['two']), 1);
      const b = start('entry-2', 'dc-a', new StoreEngine());
      await waitFor(() => revisionOf(b) === 2, 'entry-2 heard from entry-1');
      const outcome = await apply(b, createDocument(['three']), 2);
      assert.deepEqual(outcome._unsafeUnwrapErr(), {current: 0, kind: 'conflict'});
      assert.equal(revisionOf(b), 2);
    });
  });

  describe('confirmation', () => {
    it('names the VMs that have the revision in force, and those cut off', async () => {
      const [a, b, c] = [start('entry-1'), start('entry-2'), start('entry-3', 'dc-b')];
      await apply(a, createDocument(['one']), 0);
      await waitFor(() => [a, b, c].every((each) => revisionOf(each) === 1), 'all know it');
      const now = SYSTEM_CLOCK.monotonic();
      const all = await a.catalogue.confirmer.confirm(1, LIMIT_MS, now);
      assert.equal(all.complete, true);
      assert.deepEqual(
        all.dataCentres.map(({applied}) => applied),
        [['entry-1', 'entry-2'], ['entry-3']],
      );
      c.store.faults.change({down: true});
      for (const vm of ['entry-1', 'entry-2']) {
        network.setLinkState(brand(vm), brand('entry-3'), 'hold');
        network.setLinkState(brand('entry-3'), brand(vm), 'hold');
      }
      await apply(a, createDocument(['two']), 1);
      const partial = await a.catalogue.confirmer.confirm(2, 0, SYSTEM_CLOCK.monotonic());
      assert.equal(partial.complete, false);
      const cut = partial.dataCentres.find(({dataCentre}) => dataCentre === 'dc-b');
      assert.deepEqual(cut, {applied: [], dataCentre: 'dc-b', heard: false, missing: ['entry-3']});
    });

    it('names a member of the data centre that has no link and is on no list', async () => {
      const gone: NodeIdentity = {
        dataCentre: brand('dc-a'),
        incarnation: brand('entry-9-1'),
        region: brand('north'),
        vm: brand('entry-9'),
      };
      const a = start('entry-1', 'dc-a', engine, [gone]);
      await apply(a, createDocument(['one']), 0);
      const partial = await a.catalogue.confirmer.confirm(1, 0, SYSTEM_CLOCK.monotonic());
      assert.equal(partial.complete, false);
      assert.deepEqual(partial.dataCentres[0]?.missing, ['entry-9']);
    });
  });
});

describe('buildPage', () => {
  it('cuts a large catalogue into pages that together hold every team', () => {
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
