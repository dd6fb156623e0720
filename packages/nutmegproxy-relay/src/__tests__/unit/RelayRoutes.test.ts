import type {DataCentreId, Instant, VmId} from '@nutmegproxy/core';

import {brand} from '@nutmegproxy/core';
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {RelayCandidate} from '../../RelayRoutes.ts';

import {MINIONS_PER_RELAY, RELAY_COOLDOWN_MS} from '../../RelayConstants.ts';
import {chooseRelays, RelayRoutes} from '../../RelayRoutes.ts';
import {createCandidate, createTarget} from './RelaySamples.ts';

const at = (ms: number): Instant => ms as Instant;

describe('RelayRoutes', () => {
  let candidates: readonly RelayCandidate[];
  let owners: ReadonlySet<VmId>;
  let routes: RelayRoutes;

  /** Makes the fleet too large for an owner with a tenth of a core. */
  function addMinions(count: number): void {
    for (let index = 0; index < count; index += 1) {
      routes.find(createTarget(`m${index}`), at(0));
    }
  }

  beforeEach(() => {
    candidates = ['vm-1', 'vm-2', 'vm-3'].map((name) => createCandidate(name));
    owners = new Set();
    routes = new RelayRoutes({candidates: () => candidates, ownCores: 0.1, owners: () => owners});
  });

  it('leaves a small fleet to the owner', () => {
    addMinions(30);
    assert.equal(routes.find(createTarget('m0'), at(0)), undefined);
  });

  describe('in a large fleet', () => {
    beforeEach(() => {
      addMinions(40);
    });

    it('keeps the relay of a minion', () => {
      const relay = routes.find(createTarget('m0'), at(0));
      assert.ok(relay !== undefined);
      candidates = [...candidates];
      assert.deepEqual(routes.find(createTarget('m0'), at(10)), relay);
    });

    it('replaces a relay whose link was lost for a time', () => {
      const relay = routes.find(createTarget('m0'), at(0));
      assert.ok(relay !== undefined);
      routes.recordLoss(relay.vm, at(10));
      const other = routes.find(createTarget('m0'), at(20));
      assert.ok(other !== undefined && other.vm !== relay.vm);
      candidates = [...candidates];
      const later = routes.find(createTarget('m0'), at(10 + RELAY_COOLDOWN_MS));
      assert.deepEqual(later, relay);
    });

    it('moves the minions of a relay that becomes the owner of a cell, and few others', () => {
      addMinions(MINIONS_PER_RELAY + 10);
      const ids = Array.from({length: MINIONS_PER_RELAY + 10}, (_, index) => `m${index}`);
      const find = (id: string): undefined | VmId => routes.find(createTarget(id), at(0))?.vm;
      // The relays are chosen for the number of minions that is known now.
      candidates = [...candidates];
      const before = new Map(ids.map((id) => [id, find(id)]));
      const relays = [...new Set(before.values())];
      assert.equal(relays.length, 2);
      const [owner, other] = relays;
      owners = new Set(owner === undefined ? [] : [owner]);
      const after = new Map(ids.map((id) => [id, find(id)]));
      assert.ok(![...after.values()].includes(owner), `${owner} relays beside its cell`);
      const [added] = candidates.filter(({vm}) => !relays.includes(vm));
      for (const id of ids.filter((each) => before.get(each) === other)) {
        assert.ok([added?.vm, other].includes(after.get(id)));
      }
      assert.ok(
        ids.filter((id) => before.get(id) === other && after.get(id) === other).length > 40,
      );
    });

    it('leaves a minion to the owner when its data centre has no relay', () => {
      assert.equal(routes.find(createTarget('other', 'dc-b'), at(0)), undefined);
    });

    it('leaves the fleet to the owner again once it has clearly shrunk', () => {
      for (let index = 0; index < 12; index += 1) {
        routes.removeMinion(createTarget(`m${index}`).id);
      }
      assert.ok(routes.find(createTarget('m30'), at(0)) !== undefined);
      for (let index = 12; index < 20; index += 1) {
        routes.removeMinion(createTarget(`m${index}`).id);
      }
      assert.equal(routes.find(createTarget('m30'), at(0)), undefined);
    });
  });

  describe('the relays of a data centre', () => {
    const dataCentre = brand<DataCentreId>('dc-a');

    it('are as many as its minions need', () => {
      assert.equal(chooseRelays(candidates, dataCentre, MINIONS_PER_RELAY).length, 1);
      assert.equal(chooseRelays(candidates, dataCentre, MINIONS_PER_RELAY + 1).length, 2);
    });

    it('are among its largest VMs, and have a relay', () => {
      const small = createCandidate('small', {cores: 0.3});
      const former = createCandidate('former', {cores: 4, relayAddress: undefined});
      const remote = createCandidate('remote', {
        cores: 4,
        dataCentre: brand<DataCentreId>('dc-b'),
      });
      const chosen = chooseRelays([small, former, remote, ...candidates], dataCentre, 1_000);
      assert.deepEqual(chosen.map(({vm}) => vm).sort(), ['vm-1', 'vm-2', 'vm-3']);
    });

    it('own no cell where another VM can be a relay, even a smaller one', () => {
      const large = createCandidate('large', {cores: 4});
      const owned = new Set([brand<VmId>('large')]);
      const chosen = chooseRelays([large, ...candidates], dataCentre, 1, owned);
      assert.equal(chosen.length, 1);
      assert.ok(!owned.has(chosen[0]?.vm ?? large.vm));
    });

    it('own cells where all VMs do', () => {
      const all = new Set(candidates.map(({vm}) => vm));
      const chosen = chooseRelays(candidates, dataCentre, 2 * MINIONS_PER_RELAY, all);
      assert.deepEqual(chosen, chooseRelays(candidates, dataCentre, 2 * MINIONS_PER_RELAY));
    });
  });
});
