import {deepEqual, equal} from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {CapacityTotals} from '../../CapacityFigures.ts';

import {compareTotals} from '../../CapacityFigures.ts';
import {sumBytes} from '../../PeerSockets.ts';
import {parseUsage} from '../../ProcessUsage.ts';

const NO_CALLS = {grant: 0, keepalive: 0, read: 0, revoke: 0, watch: 0, write: 0};

function totalsAt(at: number, scale: number): CapacityTotals {
  const entry = {
    cpuMs: 40 * scale,
    list: {'from-target': 200 * scale, 'to-target': 100 * scale},
    residentBytes: 90_000_000,
    store: {'from-target': 400 * scale, 'to-target': 300 * scale},
  };
  return {
    at,
    entries: [entry, entry],
    fleet: {receivedBytes: 1_000 * scale, sentBytes: 3_000 * scale, started: 8 * scale, syncs: 0},
    linkBytes: 1_500 * scale,
    refused: 0,
    storeCalls: {...NO_CALLS, grant: scale, keepalive: scale, read: 4 * scale, write: 2 * scale},
  };
}

describe('compareTotals', () => {
  const figures = compareTotals(totalsAt(1_000, 1), totalsAt(3_000, 3));

  it('returns mean rates per entry VM', () => {
    equal(figures.cpuPercent, 4);
    equal(figures.storeReads, 2);
    equal(figures.storeWrites, 1);
    equal(figures.keepalives, 1);
    equal(figures.startsDone, 4);
    equal(figures.residentMb, 90);
  });

  it('sums bytes by remote side and counts peer connections at both ends', () => {
    equal(figures.listBytes, 300);
    equal(figures.storeBytes, 700);
    equal(figures.workerBytes, 2_000);
    equal(figures.peerBytes, 1_500);
  });

  it('returns zero rates for two equal readings', () => {
    const still = compareTotals(totalsAt(0, 1), totalsAt(1_000, 1));
    equal(still.cpuPercent, 0);
    equal(still.peerBytes, 0);
  });
});

describe('parseUsage', () => {
  it('parses a program name that contains spaces and parentheses', () => {
    const stat = '17 (node (x) y) S 1 17 17 0 -1 4194304 9 0 0 0 250 50 0 0 20 0 11 0 77 1 2';
    const usage = parseUsage(stat, '3000 200 100 1 0 50 0');
    deepEqual(usage, {
      cpuMs: 3_000,
      residentBytes: 819_200,
    });
  });
});

describe('sumBytes', () => {
  it('counts only connections that were accepted on the given ports', () => {
    const listing = [
      '0 0 127.0.0.1:7001 127.0.0.1:50000',
      '\t cubic bytes_sent:100 bytes_acked:100 bytes_received:20 segs_out:3',
      '0 0 127.0.0.1:50000 127.0.0.1:7001',
      '\t cubic bytes_sent:20 bytes_acked:20 bytes_received:100 segs_out:3',
      '0 0 127.0.0.1:7002 127.0.0.1:50001',
      '\t cubic bytes_sent:5 bytes_acked:5 bytes_received:4 segs_out:3',
      '',
    ].join('\n');
    equal(sumBytes(listing, new Set([7001, 7002])), 129);
  });
});
