import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {inspect} from 'node:util';

import {describeSettingsFailure, readSettings, resolveSecret, Secret} from '../../index.ts';

const COMPLETE = `{
  // One entry VM.
  "vm": "entry-1", "dataCentre": "dc-a", "region": "north",
  "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "platform": {"store": ["http://127.0.0.1:2379"], "vmList": "http://127.0.0.1:2380"},
  "secrets": {"peer": {"env": "PEER"}, "operator": {"file": "/run/token"}},
}`;

function failureOf(text: string): string {
  return describeSettingsFailure(readSettings(text, 'a.jsonc')._unsafeUnwrapErr());
}

describe('Settings', () => {
  describe('readSettings', () => {
    it('accepts comments and applies defaults', () => {
      const settings = readSettings(COMPLETE, 'a.jsonc')._unsafeUnwrap();
      assert.equal(settings.platform.keyPrefix, '/nutmegproxy');
      assert.equal(settings.timings.heartbeatMs, 1_000);
    });

    it('reports line, column, name and message for an unknown field', () => {
      const text = COMPLETE.replace('"region"', '"zone": 1, "region"');
      assert.match(failureOf(text), /^a\.jsonc:3:42: zone: unknown field/);
    });

    it('reports a missing field and a malformed field', () => {
      const text = COMPLETE.replace('"vm": "entry-1",', '').replace('127.0.0.1:0', 'localhost:0');
      const lines = failureOf(text).split('\n');
      assert.match(lines.join('\n'), /a\.jsonc:1:1: vm: missing required field/);
      assert.match(
        lines.join('\n'),
        /a\.jsonc:4:14: listen\.callers: expected a string that matches/,
      );
    });

    it('rejects a duplicate field and invalid syntax', () => {
      const repeated = COMPLETE.replace('"region"', '"vm": "entry-2", "region"');
      assert.match(failureOf(repeated), /vm: duplicate field/);
      assert.match(failureOf('{"vm": '), /expected JSON with comments/);
    });
  });

  describe('resolveSecret', () => {
    it('never prints the secret', () => {
      const secret = resolveSecret({env: 'PEER'}, {PEER: ' hidden\n'})._unsafeUnwrap();
      assert.equal(secret.reveal(), 'hidden');
      assert.equal(
        `${String(secret)} ${inspect(secret)} ${JSON.stringify({secret})}`.includes('hidden'),
        false,
      );
      assert.equal(inspect(new Secret('x')), '[secret]');
    });

    it('names the source of a missing secret', () => {
      assert.match(resolveSecret({env: 'NONE'}, {})._unsafeUnwrapErr().message, /NONE/);
      const missing = resolveSecret({file: '/nonexistent/token'}, {});
      assert.match(missing._unsafeUnwrapErr().message, /ENOENT/);
    });
  });
});
