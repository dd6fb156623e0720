import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CommandBus, createCommand, PRIORITY_HIGH, PRIORITY_LOW} from '../../index.ts';

const PING = createCommand<string>('PING');

describe('CommandBus', () => {
  describe('dispatch', () => {
    it('calls handlers by priority until one returns true', () => {
      const bus = new CommandBus();
      const seen: string[] = [];
      bus.register(PING, (payload) => seen.push(`low ${payload}`) > 0, PRIORITY_LOW);
      bus.register(PING, (payload) => seen.push(`high ${payload}`) < 0, PRIORITY_HIGH);
      assert.equal(bus.dispatch(PING, 'a'), true);
      assert.deepEqual(seen, ['high a', 'low a']);
    });
  });

  describe('register', () => {
    it('returns a function that removes the handler', () => {
      const bus = new CommandBus();
      const unregister = bus.register(PING, () => true, PRIORITY_LOW);
      unregister();
      unregister();
      assert.equal(bus.dispatch(PING, 'a'), false);
    });
  });
});
