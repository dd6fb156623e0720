/** Runs randomized callers and faulty minions, and checks the history of requests and runs. */

import type {Random} from '@nutmegproxy/admission';

import {createRandom} from '@nutmegproxy/admission';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {MinionScript} from './RequestsHarness.ts';

import {FakeMinion, respondPartially, respondWith, withHarness} from './RequestsHarness.ts';

const SEEDS = [11, 23, 47];
const REQUESTS = 150;

interface Run {
  readonly minion: string;
  readonly tag: string;
}

interface CallerResult {
  readonly outcome: null | string | undefined;
  readonly tag: string;
  readonly text: string | undefined;
}

function formatResponse(tag: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${tag.length}\r\n\r\n${tag}`;
}

const REFUSAL = 'HTTP/1.1 503 Busy\r\nnutmegproxy-refused: true\r\ncontent-length: 0\r\n\r\n';

/** A minion that runs each request it does not refuse and responds late, partially or never. */
function createFaultyScript(random: Random, minion: string, runs: Run[]): MinionScript {
  return (socket, request) => {
    const tag = /x-tag: (\S+)/.exec(request)?.[1] ?? '';
    const choice = random();
    if (choice < 0.1) {
      socket.write(REFUSAL);
      return;
    }
    runs.push({minion, tag});
    const text = formatResponse(tag);
    if (choice < 0.25) {
      const ending = random() < 0.5 ? 'end' : 'reset';
      respondPartially(text, Math.floor(random() * text.length), ending)(socket, request);
      return;
    }
    if (choice < 0.3) {
      return;
    }
    setTimeout(() => {
      respondWith(tag)(socket, request);
    }, random() * 10);
  };
}

async function sendRequest(url: string, tag: string, random: Random): Promise<CallerResult> {
  const cancel = random() < 0.1 ? AbortSignal.timeout(1 + Math.floor(random() * 10)) : undefined;
  const headers = {'nutmegproxy-timeout-ms': '300', 'x-tag': tag};
  const options = {body: tag, headers, method: 'POST'};
  try {
    const response = await fetch(
      url,
      cancel === undefined ? options : {...options, signal: cancel},
    );
    const outcome = response.headers.get('nutmegproxy-outcome');
    return {outcome, tag, text: await response.text()};
  } catch {
    return {outcome: undefined, tag, text: undefined};
  }
}

function checkHistory(
  results: readonly CallerResult[],
  runs: readonly Run[],
  isIdempotent: boolean,
): void {
  for (const {outcome, tag, text} of results) {
    const count = runs.filter((run) => run.tag === tag).length;
    if (!isIdempotent) {
      assert.ok(count <= 1, `${tag} ran ${count} times`);
    }
    if (outcome === 'not-run') {
      assert.equal(count, 0, `${tag} ran despite the outcome not-run`);
    }
    if (outcome === null && text !== undefined) {
      assert.equal(text, tag, `${tag} got ${text}`);
    }
  }
}

describe('history of requests', () => {
  for (const seed of SEEDS) {
    for (const entry of ['alerts', 'proofs']) {
      it(`${entry}, seed ${seed}: correct responses, at most one run, correct not-run`, async () => {
        const random = createRandom(seed);
        const runs: Run[] = [];
        const ids = ['m1', 'm2', 'm3'];
        const minions = ids.map((id) => new FakeMinion(id, createFaultyScript(random, id, runs)));
        await withHarness({minions, shares: 3}, async (harness) => {
          const tags = Array.from({length: REQUESTS}, (_, index) => `tag-${seed}-${index}`);
          const url = harness.url(`/entries/${entry}/`);
          const results = await Promise.all(tags.map((tag) => sendRequest(url, tag, random)));
          checkHistory(results, runs, entry === 'proofs');
          assert.ok(results.some(({outcome}) => outcome === null));
          minions.forEach(({connectionsMax}) => {
            assert.ok(connectionsMax <= 3, `${connectionsMax} connections`);
          });
        });
      });
    }
  }
});
