/**
 * Stand-in for the platform's metadata store, by the users' page PROTOCOL: revisions, conditional
 * writes, leases, watches and pages. It can be down, which refuses every call; leases pause then.
 */

import {createServer} from 'node:http';

import {findFreePort} from './ports.mjs';

const PAGE_ITEMS = 500;
const MAX_TXN_ENTRIES = 32;
const MAX_VALUE_BYTES = 1_048_576;
const READ_ONLY_PREFIXES = ['op/', 'servers/'];
const SWEEP_MS = 50;

export class Store {
  /** `no`: serves. `busy`: answers 503 without doing anything. */
  down = 'no';
  /** Called with the key and the decoded value of each write of the system. */
  onPut = () => undefined;
  #downSince = undefined;
  #events = [];
  #items = new Map();
  #leases = new Map();
  #nextLease = 1;
  #revision = 1;
  #server;
  #sweep;
  #waiting = new Set();

  async start(host) {
    this.#server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.#handle(request, Buffer.concat(chunks).toString(), response));
      request.on('error', () => undefined);
      response.on('error', () => undefined);
    });
    this.#server.keepAliveTimeout = 60_000;
    const port = await findFreePort(host);
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
    this.#sweep = setInterval(() => this.#expire(), SWEEP_MS);
    return `${host}:${this.#server.address().port}`;
  }

  close() {
    clearInterval(this.#sweep);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Refuses all calls, or serves again; a lease pauses while the store is down. */
  setDown(down) {
    const now = performance.now();
    if (down !== 'no' && this.down === 'no') {
      this.#downSince = now;
      for (const finish of [...this.#waiting]) {
        finish('down');
      }
    } else if (down === 'no' && this.#downSince !== undefined) {
      for (const lease of this.#leases.values()) {
        lease.expiresAt += now - this.#downSince;
      }
      this.#downSince = undefined;
    }
    this.down = down;
  }

  get isDown() {
    return this.down !== 'no';
  }

  /** Writes as the operator or a minion does; undefined removes the key. */
  put(key, value) {
    const text =
      value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64');
    this.#apply([{Key: key, Lease: 0, Value: text}]);
  }

  read(key) {
    const item = this.#items.get(key);
    return item === undefined ? undefined : Buffer.from(item.Value, 'base64').toString();
  }

  #apply(changes) {
    this.#revision += 1;
    const Rev = this.#revision;
    for (const {Key, Lease, Value} of changes) {
      if (Value === undefined) {
        if (!this.#items.delete(Key)) {
          continue;
        }
        this.#events.push({Deleted: true, Key, Rev});
      } else {
        const Created = this.#items.get(Key)?.Created ?? Rev;
        const item = {Created, Key, Lease: Lease ?? 0, Rev, Value};
        this.#items.set(Key, item);
        this.#events.push(item);
      }
    }
    for (const finish of [...this.#waiting]) {
      finish('change');
    }
    return Rev;
  }

  #expire() {
    if (this.isDown) {
      return;
    }
    for (const [id, {expiresAt}] of [...this.#leases]) {
      if (performance.now() >= expiresAt) {
        this.#endLease(id);
      }
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    const keys = [...this.#items.values()].filter(({Lease}) => Lease === id);
    if (keys.length > 0) {
      this.#apply(keys.map(({Key}) => ({Key, Lease: 0, Value: undefined})));
    }
  }

  #handle(request, text, response) {
    const send = (status, body = {}) => {
      if (!response.writableEnded && !response.destroyed) {
        const data = JSON.stringify(body);
        response.writeHead(status, {
          'content-length': Buffer.byteLength(data),
          'content-type': 'application/json',
        });
        response.end(data);
      }
    };
    if (this.isDown) {
      send(503);
      return;
    }
    const {pathname, searchParams} = new URL(request.url, 'http://store');
    const call = `${request.method} ${pathname.replace(/\/(\d+)$/, '/{}')}`;
    const id = Number(/\/(\d+)$/.exec(pathname)?.[1]);
    const body = text === '' ? {} : JSON.parse(text);
    switch (call) {
      case 'GET /api/kv-key': {
        const item = this.#items.get(searchParams.get('Key'));
        send(item === undefined ? 404 : 200, item);
        return;
      }
      case 'GET /api/kv-range':
        this.#range(searchParams, send);
        return;
      case 'GET /api/kv-watch':
        this.#watch(searchParams, send);
        return;
      case 'POST /api/kv-txn':
        this.#commit(body, send);
        return;
      case 'POST /api/kv-lease': {
        const TtlMs = Math.min(600_000, Math.max(1_000, body.TtlMs));
        const Lease = this.#nextLease;
        this.#nextLease += 1;
        this.#leases.set(Lease, {TtlMs, expiresAt: performance.now() + TtlMs});
        send(200, {Lease, TtlMs});
        return;
      }
      case 'POST /api/kv-keep/{}': {
        const lease = this.#leases.get(id);
        if (lease === undefined) {
          send(404);
          return;
        }
        lease.expiresAt = performance.now() + lease.TtlMs;
        send(200, {TtlMs: lease.TtlMs});
        return;
      }
      case 'DELETE /api/kv-lease-end/{}':
        if (!this.#leases.has(id)) {
          send(404);
          return;
        }
        this.#endLease(id);
        send(200);
        return;
      default:
        send(404);
    }
  }

  #range(query, send) {
    const prefix = query.get('Prefix') ?? '';
    const after = query.get('After') ?? '';
    const found = [...this.#items.values()]
      .filter(({Key}) => Key.startsWith(prefix) && Key > after)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const item of found) {
      bytes += item.Value.length;
      if (items.length === PAGE_ITEMS || (items.length > 0 && bytes > MAX_VALUE_BYTES)) {
        break;
      }
      items.push(item);
    }
    send(200, {CurrentRev: this.#revision, HasMore: items.length < found.length, items});
  }

  #watch(query, send) {
    const prefix = query.get('Prefix') ?? '';
    const after = Number(query.get('After'));
    const respond = () => {
      const found = this.#events.filter(({Key, Rev}) => Rev > after && Key.startsWith(prefix));
      if (found.length === 0) {
        return false;
      }
      const events = found.slice(0, PAGE_ITEMS);
      // A response ends with a whole revision.
      while (events.length < found.length && events.at(-1).Rev === found[events.length].Rev) {
        events.push(found[events.length]);
      }
      const CurrentRev = events.length < found.length ? events.at(-1).Rev : this.#revision;
      send(200, {CurrentRev, events});
      return true;
    };
    if (respond()) {
      return;
    }
    const finish = (reason) => {
      if (reason === 'change' && !respond()) {
        return;
      }
      clearTimeout(timer);
      this.#waiting.delete(finish);
      if (reason === 'down') {
        send(503);
      } else if (reason === 'timeout') {
        send(200, {CurrentRev: this.#revision, events: []});
      }
    };
    const timer = setTimeout(() => finish('timeout'), Number(query.get('WaitMs')));
    this.#waiting.add(finish);
  }

  #commit({ExpectedRev = [], Puts = [], Remove = []}, send) {
    const keys = [...Puts.map(({Key}) => Key), ...Remove];
    const tooLarge = Puts.some(({Value}) => Buffer.byteLength(Value, 'base64') > MAX_VALUE_BYTES);
    if (ExpectedRev.length + keys.length > MAX_TXN_ENTRIES || tooLarge) {
      send(400);
      return;
    }
    if (keys.some((key) => READ_ONLY_PREFIXES.some((prefix) => key.startsWith(prefix)))) {
      send(403);
      return;
    }
    if (Puts.some(({Lease = 0}) => Lease !== 0 && !this.#leases.has(Lease))) {
      send(404);
      return;
    }
    const isMet = ({Key, Rev}) => (this.#items.get(Key)?.Rev ?? 0) === Rev;
    if (!ExpectedRev.every(isMet)) {
      send(412, {items: ExpectedRev.flatMap(({Key}) => this.#items.get(Key) ?? [])});
      return;
    }
    const Rev = this.#apply([...Puts, ...Remove.map((Key) => ({Key, Value: undefined}))]);
    for (const {Key, Value} of Puts) {
      this.onPut(Key, Buffer.from(Value, 'base64').toString());
    }
    send(200, {Rev});
  }
}
