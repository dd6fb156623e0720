import type {DataCentreId, Instant} from '@nutmegproxy/core';

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
  let routes: RelayRoutes;

  /** Makes the fleet too large for an owner with a tenth of a core. */
  function addMinions(count: number): void {
    for (let index = 0; index < count; index += 1) {
      routes.find(createTarget(`m${index}`), at(0));
    }
  }

  beforeEach(() => {
    candidates = ['vm-1', 'vm-2', 'vm-3'].map((name) => createCandidate(name));
    routes = new RelayRoutes({candidates: () => candidates, ownCores: 0.1});
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
  });
});
