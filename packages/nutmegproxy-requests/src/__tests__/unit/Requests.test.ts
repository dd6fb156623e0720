import {DRAIN_STARTED} from '@nutmegproxy/core';
import {SHARE_RELEASE_WANTED} from '@nutmegproxy/membership';
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {describe, it} from 'node:test';

import type {SlotLender} from '../../index.ts';

import {
  ALERTS,
  FakeMinion,
  PROOFS,
  respondPartially,
  respondWith,
  sendRaw,
  waitUntil,
  withHarness,
} from './RequestsHarness.ts';

const FIXED_LENGTH = 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789';
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n';
const CHUNKED_CLOSING =
  'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n';

interface CallerResponse {
  readonly aborted: boolean;
  readonly headers: Headers | undefined;
  readonly status: number;
  readonly text: string;
}

async function sendRequest(url: string, options: RequestInit = {}): Promise<CallerResponse> {
  const response = await fetch(url, options).catch(() => undefined);
  if (response === undefined) {
    return {aborted: true, headers: undefined, status: 0, text: ''};
  }
  const {headers, status} = response;
  const text = await response.text().catch(() => undefined);
  return {aborted: text === undefined, headers, status, text: text ?? ''};
}

const outcome = ({headers}: CallerResponse): null | string | undefined =>
  headers?.get('nutmegproxy-outcome');
const POST = {body: 'send', method: 'POST'};

describe('requests', () => {
  describe('forwarding', () => {
    it('forwards requests and responses without hop-by-hop headers', async () => {
      const minion = new FakeMinion(
        'm1',
        respondWith('hello', 'x-a: 1\r\nkeep-alive: timeout=9\r\n'),
      );
      await withHarness({minions: [minion]}, async (harness) => {
        const url = harness.url('/entries/alerts/a/b?c=1');
        const response = await sendRequest(url, {...POST, headers: {te: 'trailers', 'x-b': '2'}});
        assert.equal(response.text, 'hello');
        assert.equal(response.headers?.get('x-a'), '1');
        assert.equal(response.headers.get('keep-alive')?.includes('9'), false);
        const [arrival = ''] = minion.arrivals;
        assert.match(arrival, /^POST \/a\/b\?c=1 HTTP\/1.1\r\n/);
        assert.match(arrival, /x-b: 2/);
        assert.doesNotMatch(arrival, /\r\nte:/i);
        assert.match(arrival, /nutmegproxy-request: vm-1.1-1/);
        assert.match(arrival, /send$/);
      });
    });

    it('streams bodies beyond the buffer size in both directions', async () => {
      const body = 'x'.repeat(300_000);
      const minion = new FakeMinion('m1', respondWith('y'.repeat(300_000)));
      await withHarness({minions: [minion]}, async (harness) => {
        const response = await sendRequest(harness.url('/entries/alerts/'), {body, method: 'POST'});
        assert.equal(response.text.length, 300_000);
        assert.ok(minion.arrivals[0]?.endsWith(body));
      });
    });

    it('returns each of many callers its own response, within the slots', async () => {
      const minions = ['m1', 'm2'].map((id) => new FakeMinion(id, () => undefined));
      for (const minion of minions) {
        minion.script = (socket, request) => {
          const path = request.split(' ')[1] ?? '';
          minion.running += 1;
          minion.runningMax = Math.max(minion.runningMax, minion.running);
          // Later requests get faster responses, so that responses arrive out of order.
          setTimeout(
            () => {
              minion.running -= 1;
              respondWith(path)(socket, request);
            },
            20 - (Number(path.slice(1)) % 10) * 2,
          );
        };
      }
      await withHarness({minions, shares: 3}, async (harness) => {
        const paths = Array.from({length: 120}, (_, index) => `/${index}`);
        const response = await Promise.all(
          paths.map((path) => sendRequest(harness.url(`/entries/alerts${path}`), POST)),
        );
        assert.deepEqual(
          response.map(({text}) => text),
          paths,
        );
        for (const minion of minions) {
          assert.ok(minion.runningMax <= 3 && minion.connectionsMax <= 3);
        }
      });
    });
  });

  describe('truncated responses', () => {
    for (const [name, text] of Object.entries({
      chunked: CHUNKED,
      closing: CHUNKED_CLOSING,
      length: FIXED_LENGTH,
    })) {
      for (const ending of ['end', 'reset'] as const) {
        it(`${name}, ${ending} at each byte: sent once, never treated as complete`, async () => {
          const minion = new FakeMinion('m1', respondWith(''));
          await withHarness({minions: [minion]}, async (harness) => {
            for (let bytes = 0; bytes < text.length; bytes += 1) {
              minion.arrivals.length = 0;
              minion.script = respondPartially(text, bytes, ending);
              const response = await sendRequest(harness.url('/entries/alerts/'), POST);
              assert.equal(minion.arrivals.length, 1, `${bytes} bytes: sent more than once`);
              const unknown = response.status === 502 && outcome(response) === 'outcome-unknown';
              assert.ok(
                response.aborted || unknown,
                `${bytes} bytes: ${response.status} ${response.text}`,
              );
            }
          });
        });
      }
    }

    it('refuses a response whose end cannot be verified', async () => {
      const text = 'HTTP/1.1 200 OK\r\n\r\npart';
      const minion = new FakeMinion('m1', respondPartially(text, text.length, 'end'));
      await withHarness({minions: [minion]}, async (harness) => {
        const response = await sendRequest(harness.url('/entries/alerts/'), POST);
        assert.equal(outcome(response), 'outcome-unknown');
      });
    });

    it('retries an idempotent request on another minion', async () => {
      const bad = new FakeMinion('m1', respondPartially(FIXED_LENGTH, 0, 'reset'));
      const good = new FakeMinion('m2', respondWith('good'));
      await withHarness({minions: [bad, good]}, async (harness) => {
        for (let index = 0; index < 8; index += 1) {
          const response = await sendRequest(harness.url('/entries/proofs/'), POST);
          assert.equal(response.text, 'good');
        }
        assert.ok(bad.arrivals.length > 0);
      });
    });
  });

  describe('refusals', () => {
    it('returns not-run with a retry delay if the minion refuses', async () => {
      const refusing = new FakeMinion('m1', (socket) => {
        socket.write('HTTP/1.1 503 Busy\r\nnutmegproxy-refused: true\r\ncontent-length: 0\r\n\r\n');
      });
      await withHarness({minions: [refusing]}, async (harness) => {
        const response = await sendRequest(harness.url('/entries/alerts/'), POST);
        assert.deepEqual([response.status, outcome(response)], [503, 'not-run']);
        assert.ok(Number(response.headers?.get('retry-after')) >= 1);
        assert.ok(Number(response.headers?.get('nutmegproxy-retry-after-ms')) > 0);
      });
    });

    it('returns not-run if no minion is available or tenure is lost', async () => {
      const minion = new FakeMinion('m1', respondWith('x'));
      await withHarness({minions: [minion]}, async (harness) => {
        harness.drain('m1');
        assert.equal(outcome(await sendRequest(harness.url('/entries/alerts/'), POST)), 'not-run');
        harness.drain();
        harness.hasTenure = false;
        assert.equal(outcome(await sendRequest(harness.url('/entries/alerts/'), POST)), 'not-run');
        assert.equal((await sendRequest(harness.url('/health/ready'))).status, 503);
        assert.equal((await sendRequest(harness.url('/health/live'))).status, 200);
        assert.equal(minion.arrivals.length, 0);
      });
    });

    it('returns 404, 400 and 413 without sending a request to a minion', async () => {
      const minion = new FakeMinion('m1', respondWith('x'));
      const small = {...ALERTS, id: 'small', limits: {bodyBytes: 3}};
      await withHarness({entries: [small], minions: [minion]}, async (harness) => {
        const statuses = await Promise.all([
          sendRequest(harness.url('/entries/none/')),
          sendRequest(harness.url('/other')),
          sendRequest(harness.url('/entries/small/'), {
            headers: {'nutmegproxy-timeout-ms': 'soon'},
          }),
          sendRequest(harness.url('/entries/small/'), POST),
        ]);
        assert.deepEqual(
          statuses.map(({status}) => status),
          [404, 404, 400, 413],
        );
        assert.ok(statuses.every((each) => outcome(each) === 'not-run'));
        const raw = await sendRaw(harness.port, 'GET / HTTP/1.1\r\nbad header\r\n\r\n');
        assert.match(raw, /^HTTP\/1.1 400/);
        assert.equal(minion.arrivals.length, 0);
      });
    });

    it('returns 503 and not-run while it has no catalogue', async () => {
      const minion = new FakeMinion('m1', respondWith('x'));
      await withHarness({entries: [], minions: [minion], revision: 0}, async (harness) => {
        const response = await sendRequest(harness.url('/entries/alerts/'), POST);
        assert.deepEqual([response.status, outcome(response)], [503, 'not-run']);
        assert.equal((await sendRequest(harness.url('/health/ready'))).status, 503);
      });
    });

    it('fails at the deadline: outcome-unknown at a minion, not-run in the queue', async () => {
      const minion = new FakeMinion('m1', () => undefined);
      await withHarness({minions: [minion], shares: 1}, async (harness) => {
        const headers = {'nutmegproxy-timeout-ms': '150'};
        const first = sendRequest(harness.url('/entries/alerts/'), {...POST, headers});
        await waitUntil(() => minion.arrivals.length === 1);
        const second = await sendRequest(harness.url('/entries/alerts/'), {
          ...POST,
          headers: {'nutmegproxy-timeout-ms': '60'},
        });
        assert.equal(outcome(second), 'not-run');
        assert.equal(outcome(await first), 'outcome-unknown');
        assert.equal(minion.arrivals.length, 1);
      });
    });
  });

  describe('callers that disconnect', () => {
    it('releases the slot once the minion’s connection is closed', async () => {
      const minion = new FakeMinion('m1', () => undefined);
      await withHarness({minions: [minion], shares: 1}, async (harness) => {
        const socket = connect(harness.port, '127.0.0.1');
        socket.write('GET /entries/alerts/ HTTP/1.1\r\nhost: a\r\n\r\n');
        await waitUntil(() => minion.arrivals.length === 1);
        socket.destroy();
        await waitUntil(() => minion.connections === 0);
        minion.script = respondWith('next');
        assert.equal((await sendRequest(harness.url('/entries/alerts/'), POST)).text, 'next');
      });
    });
  });

  describe('leaving and stopping', () => {
    it('sends no more requests to a minion that announces it is leaving', async () => {
      const leaving = new FakeMinion('m1', respondWith('bye', 'nutmegproxy-leaving: true\r\n'));
      const staying = new FakeMinion('m2', respondWith('hi'));
      await withHarness({minions: [leaving, staying]}, async (harness) => {
        const all = Array.from({length: 20}, () => harness.url('/entries/alerts/'));
        for (const url of all) {
          assert.equal((await sendRequest(url, POST)).status, 200);
        }
        assert.equal(leaving.arrivals.length, 1);
        assert.ok(harness.leaving.has('m1'));
      });
    });

    it('completes running requests during a planned stop and refuses later ones', async () => {
      const minion = new FakeMinion('m1', () => undefined);
      await withHarness({minions: [minion], stopDelayMs: 100}, async (harness) => {
        const early = sendRequest(harness.url('/entries/alerts/early'), POST);
        await waitUntil(() => minion.arrivals.length === 1);
        const waits: Promise<void>[] = [];
        harness.bus.dispatch(DRAIN_STARTED, {wait: (work) => waits.push(work)});
        harness.bus.dispatch(DRAIN_STARTED, {wait: (work) => waits.push(work)});
        assert.equal((await sendRequest(harness.url('/health/ready'))).status, 503);
        const late = sendRequest(harness.url('/entries/alerts/late'), POST);
        await waitUntil(() => minion.arrivals.length === 2);
        minion.script = respondWith('third');
        let refused = await sendRequest(harness.url('/entries/alerts/'), POST);
        while (refused.status === 200) {
          refused = await sendRequest(harness.url('/entries/alerts/'), POST);
        }
        assert.deepEqual([refused.status, outcome(refused)], [503, 'not-run']);
        assert.equal(waits.length, 2);
        const sockets = minion.sockets();
        sockets.forEach((socket) => {
          respondWith('done')(socket, '');
        });
        assert.deepEqual([(await early).text, (await late).text], ['done', 'done']);
        await Promise.all(waits);
      });
    });
  });

  describe('limits', () => {
    it('keeps an entry and a team within their limits', async () => {
      const minion = new FakeMinion('m1', () => undefined);
      minion.script = (socket, request) => {
        minion.running += 1;
        minion.runningMax = Math.max(minion.runningMax, minion.running);
        setTimeout(() => {
          minion.running -= 1;
          respondWith('x')(socket, request);
        }, 5);
      };
      const limited = {...PROOFS, limits: {concurrency: 2, timeoutMs: 4000}};
      const teams = [{id: 'oportuna', quota: {requests: 1}}];
      await withHarness({entries: [limited], minions: [minion]}, async (harness) => {
        await Promise.all(
          Array.from({length: 20}, () => sendRequest(harness.url('/entries/proofs/'))),
        );
        assert.equal(minion.runningMax, 2);
      });
      const other = new FakeMinion('m1', minion.script);
      minion.runningMax = 0;
      await withHarness({entries: [limited], minions: [other], teams}, async (harness) => {
        await Promise.all(
          Array.from({length: 20}, () => sendRequest(harness.url('/entries/proofs/'))),
        );
        assert.equal(minion.runningMax, 1);
      });
    });

    it('refuses immediately, with a retry delay, if it has no share of a limit', async () => {
      const minion = new FakeMinion('m1', respondWith('x'));
      const teams = [{id: 'oportuna', quota: {requests: 0}}];
      await withHarness({entries: [PROOFS], minions: [minion], teams}, async (harness) => {
        const response = await fetch(harness.url('/entries/proofs/'));
        assert.equal(response.status, 503);
        assert.equal(response.headers.get('nutmegproxy-outcome'), 'not-run');
        assert.ok(Number(response.headers.get('retry-after')) >= 1);
        assert.match(await response.text(), /no-share/);
        assert.equal(minion.arrivals.length, 0);
      });
    });

    it('borrows slots if it has none and returns them when idle', async () => {
      const minion = new FakeMinion('m1', respondWith('x'));
      let lent = 0;
      const loans = {
        borrow: (_minion: string, count: number) => {
          lent += count;
          return Promise.resolve(count);
        },
        expire: () => undefined,
        giveBack: (_minion: string, count: number) => {
          lent -= count;
        },
      };
      await withHarness({loans, minions: [minion], shares: 0}, async (harness) => {
        assert.equal((await sendRequest(harness.url('/entries/alerts/'), POST)).text, 'x');
        await waitUntil(() => lent === 0);
        assert.equal(minion.connectionsMax, 1);
      });
    });

    it('sends nothing on a slot whose loan expired while the connection was opened', async () => {
      const minion = new FakeMinion('m1', respondWith('x'));
      let borrowCalls = 0;
      let checks = 0;
      const loans = {
        borrow: () => {
          borrowCalls += 1;
          checks = 0;
          return Promise.resolve(1);
        },
        expire: () => {
          checks += 1;
          // The first check is before the slot is granted to the request, the second after it.
          if (borrowCalls === 1 && checks === 2) {
            lender?.end(minion.id, 1);
          }
        },
        giveBack: () => undefined,
      };
      let lender: SlotLender | undefined;
      await withHarness({loans, minions: [minion], shares: 0}, async (harness) => {
        lender = harness.requests.lender;
        assert.equal((await sendRequest(harness.url('/entries/alerts/'), POST)).text, 'x');
        assert.equal(borrowCalls, 2);
        assert.equal(minion.arrivals.length, 1);
      });
    });

    it('confirms the release of a share once the slots in use fit the remainder', async () => {
      const minion = new FakeMinion('m1', () => undefined);
      await withHarness({minions: [minion], shares: 2}, async (harness) => {
        const pending = [1, 2].map(() => sendRequest(harness.url('/entries/alerts/'), POST));
        await waitUntil(() => minion.arrivals.length === 2);
        harness.share = 1;
        let isReleased = false;
        const released = () => {
          isReleased = true;
        };
        harness.bus.dispatch(SHARE_RELEASE_WANTED, {keep: 1, minion: minion.id, released});
        assert.equal(isReleased, false);
        const [first, second] = minion.sockets();
        assert.ok(first && second);
        respondWith('x')(first, '');
        await waitUntil(() => isReleased);
        respondWith('x')(second, '');
        await Promise.all(pending);
      });
    });

    it('lends idle slots only', async () => {
      const minion = new FakeMinion('m1', () => undefined);
      await withHarness({minions: [minion], shares: 2}, async (harness) => {
        const pending = sendRequest(harness.url('/entries/alerts/'), POST);
        await waitUntil(() => minion.arrivals.length === 1);
        assert.equal(harness.requests.lender.take(minion.id, 8), 1);
        assert.equal(harness.requests.lender.take(minion.id, 8), 0);
        harness.requests.lender.restore(minion.id, 1);
        assert.equal(harness.requests.lender.take(minion.id, 8), 1);
        minion.sockets().forEach((socket) => {
          respondWith('x')(socket, '');
        });
        await pending;
      });
    });
  });
});
