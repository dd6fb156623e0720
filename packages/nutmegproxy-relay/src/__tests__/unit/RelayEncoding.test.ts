import type {TaskId} from '@nutmegproxy/core';
import type {RunNumber} from '@nutmegproxy/jobs';
import type {OwnershipToken} from '@nutmegproxy/owner';
import type {AddressInfo} from 'node:net';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import fc from 'fast-check';
import {okAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {afterEach, describe, it} from 'node:test';
import {WebSocket, WebSocketServer} from 'ws';

import type {RelayEncoding} from '../../RelayEncoding.ts';
import type {OrderBatch, RelayedOrder} from '../../RelayMessages.ts';

import {ENCODING_HEADER, PREFERRED_ENCODING, readEncoding} from '../../RelayEncoding.ts';
import {RelayLink} from '../../RelayLink.ts';
import {decodeOrders, decodeOutcomes, encodeBatch} from '../../RelayMessages.ts';
import {ReceivedPayloads, SentPayloads} from '../../RelayPayloads.ts';
import {RelayServer} from '../../RelayServer.ts';
import {createCandidate, createTarget} from './RelaySamples.ts';

const HOST = '127.0.0.1';
const TOKEN = 7_087 as OwnershipToken;
const ENCODINGS: readonly RelayEncoding[] = ['inline', 'shared-1'];
const JOB = 'fb67b6d0fb2a16e2';

function createStart(id: number, payload: string): RelayedOrder {
  const order = {
    checkpoint: undefined,
    number: 1_001 as RunNumber,
    payload,
    task: `${JOB}.0.0.${id}` as TaskId,
    ticket: undefined,
    token: TOKEN,
    untilMs: 1_776_672_271_005 + id,
  };
  return {id, kind: 'start', order, target: createTarget('i-d00e783d1a')};
}

function createPoll(id: number): RelayedOrder {
  const order = {ackedThrough: id, token: TOKEN, untilMs: undefined, waitMs: 1_000};
  return {id, kind: 'poll', order, target: createTarget('i-d00e783d1a')};
}

function createBatch(...orders: RelayedOrder[]): OrderBatch {
  return {orders, sentAt: 1_776_672_271_005};
}

describe('Messages of a relay', () => {
  const order = fc
    .tuple(fc.boolean(), fc.nat(), fc.string())
    .map(([isStart, id, payload]) => (isStart ? createStart(id, payload) : createPoll(id)));
  const batches = fc.array(fc.array(order, {maxLength: 5}), {maxLength: 20});

  for (const encoding of ENCODINGS) {
    it(`are read as they were written, whatever their orders: ${encoding}`, () => {
      fc.assert(
        fc.property(batches, (drawn) => {
          const sent = new SentPayloads();
          const received = new ReceivedPayloads();
          for (const orders of drawn) {
            const batch = createBatch(...orders);
            const isNumbered = encoding !== 'inline';
            const bytes = encodeBatch(isNumbered ? sent.number(batch) : batch, encoding);
            const read = decodeOrders(bytes, encoding);
            const whole = isNumbered ? read.andThen((each) => received.restore(each)) : read;
            assert.deepEqual(whole._unsafeUnwrap(), batch);
          }
        }),
        {seed: 70},
      );
    });

    it(`are rejected when they have no known shape: ${encoding}`, () => {
      assert.ok(decodeOrders(Buffer.from([0xc1]), encoding).isErr());
      assert.ok(decodeOutcomes(encodeBatch(createBatch(), encoding), encoding).isErr());
    });
  }

  describe('on a link that is slow', () => {
    /** Bytes a second of the slowest link of a VM that may own a fleet, and what its orders may take of it. */
    const LINK_BYTES_PER_S = 250_000;
    const ORDERS_SHARE = 0.5;
    const STARTS_PER_S = 300;
    const POLLS_PER_S = 220;

    it('leave room for the store and for callers at the rate of a fleet of 144 minions', () => {
      const sent = new SentPayloads();
      let bytes = 0;
      for (let id = 0; id < STARTS_PER_S; id += 1) {
        const payload = `${Math.floor(id / 20)} `.padEnd(300, 'x');
        bytes += encodeBatch(sent.number(createBatch(createStart(id, payload))), 'shared-1').length;
      }
      for (let id = 0; id < POLLS_PER_S; id += 1) {
        bytes += encodeBatch(sent.number(createBatch(createPoll(id))), 'shared-1').length;
      }
      assert.ok(bytes <= LINK_BYTES_PER_S * ORDERS_SHARE, `${bytes} bytes a second`);
    });
  });
});

describe('Payloads of a link', () => {
  it('are sent once for all tasks of a job', () => {
    const sent = new SentPayloads();
    const first = sent.number(createBatch(createStart(1, 'a'), createStart(2, 'a')));
    const second = sent.number(createBatch(createStart(3, 'a'), createStart(4, 'b')));
    assert.deepEqual(
      [first.payloads, second.payloads],
      [[{number: 1, text: 'a'}], [{number: 2, text: 'b'}]],
    );
  });

  it('are dropped by both sides before the same message once they are many', () => {
    const sent = new SentPayloads();
    const received = new ReceivedPayloads();
    const texts = Array.from({length: 40}, (_, each) => `${each}`.padEnd(100_000, 'x'));
    let payloads = 0;
    for (const text of [...texts, ...texts]) {
      const batch = createBatch(createStart(1, text));
      const numbered = sent.number(batch);
      payloads += numbered.payloads?.length ?? 0;
      assert.deepEqual(received.restore(numbered)._unsafeUnwrap(), batch);
    }
    assert.equal(payloads, 80);
  });

  it('are an error where a start names one that was not sent', () => {
    const restored = new ReceivedPayloads().restore(createBatch(createStart(5, '1')));
    assert.equal(restored._unsafeUnwrapErr(), 'no payload for order 5');
  });
});

describe('A link between two versions', () => {
  const closers: (() => void)[] = [];

  afterEach(() => {
    for (const close of closers.splice(0)) {
      close();
    }
  });

  async function openLink(port: number): Promise<RelayLink> {
    const link = new RelayLink({
      clock: SYSTEM_CLOCK,
      events: {record: () => undefined},
      onLost: () => undefined,
      relay: {...createCandidate('vm-1'), relayAddress: `${HOST}:${port}`},
    });
    closers.push(() => {
      link.close();
    });
    await link.opened;
    return link;
  }

  it('has whole payloads for a relay that knows no other encoding', async () => {
    const server = new WebSocketServer({host: HOST, port: 0});
    closers.push(() => {
      server.close();
    });
    await once(server, 'listening');
    const received = new Promise<Buffer>((resolve) => {
      server.on('connection', (socket) =>
        socket.on('message', (data) => {
          resolve(data as Buffer);
        }),
      );
    });
    const link = await openLink((server.address() as AddressInfo).port);
    void link.send(createStart(1, 'payload'), 100);
    const batch = decodeOrders(await received, 'inline')._unsafeUnwrap();
    assert.deepEqual(
      batch.orders.map((each) => each.kind === 'start' && each.order.payload),
      ['payload'],
    );
  });

  it('has outcomes that an owner without another encoding can read', async () => {
    const answer = okAsync({clockMs: 100});
    const payloads: string[] = [];
    const relay = new RelayServer({
      clock: SYSTEM_CLOCK,
      events: {record: () => undefined},
      host: HOST,
      orders: {
        disconnect: () => undefined,
        pace: () => answer,
        poll: () => assert.fail('no poll is sent'),
        start: (_target, {payload}) => {
          payloads.push(payload);
          return answer;
        },
        stop: () => answer,
      },
      port: 0,
    });
    closers.push(() => {
      relay.close();
    });
    assert.ok((await relay.start()).isOk());
    const socket = new WebSocket(`ws://${HOST}:${relay.port}`);
    closers.push(() => {
      socket.terminate();
    });
    await once(socket, 'open');
    socket.send(
      encodeBatch({...createBatch(createStart(1, 'payload')), sentAt: Date.now()}, 'inline'),
    );
    const outcomes = await new Promise((resolve) => {
      socket.on('message', (data) => {
        const batch = decodeOutcomes(data as Buffer, 'inline')._unsafeUnwrap();
        if (batch.outcomes.length > 0) {
          resolve(batch.outcomes);
        }
      });
    });
    assert.deepEqual([outcomes, payloads], [[{clockMs: 100, id: 1}], ['payload']]);
  });

  it('takes an encoding that it does not know for none', () => {
    assert.equal(readEncoding({[ENCODING_HEADER]: 'shared-2'}), 'inline');
    assert.equal(readEncoding({[ENCODING_HEADER]: PREFERRED_ENCODING}), PREFERRED_ENCODING);
  });
});
