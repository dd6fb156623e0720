// The platform's store as PROTOCOL.md describes it, in memory: keys, revisions, leases, watches.
import {answer, listen, sleep} from './http.mjs';

const PAGE = 500;

export class Store {
  /** Called before each call: returns undefined, or {status} | {silent} | {lateMs} (done late and not answered). */
  trouble = () => undefined;
  #items = new Map();
  #history = [];
  #leases = new Map();
  #lease = 1;
  #revision = 10;
  #waiters = new Set();
  #servers = [];

  /** Time of an answer in milliseconds. */
  constructor(delayMs = 4) {
    this.delayMs = delayMs;
  }

  /** Listens on one more port; `trouble` finds it as `call.socket.localPort`. */
  async listen(host, port) {
    const serve = (call, response) => void this.#serve(call, response);
    this.#servers.push(await listen(host, port, serve));
    this.#sweep ??= setInterval(() => this.#expire(), 20);
  }

  /** Drops the history: watches from earlier revisions get 410. */
  compact() {
    this.#history = [];
    this.#compacted = this.#revision;
    this.#notify();
  }

  #compacted = 0;
  #sweep;

  stop() {
    clearInterval(this.#sweep);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  get(key) {
    return this.#items.get(key);
  }

  /** Value of a key as JSON; undefined without one. */
  json(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.Value, 'base64').toString());
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** A write of the operator or of a minion. */
  put(key, value) {
    this.#revision += 1;
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#notify();
    return this.#revision;
  }

  remove(key) {
    if (this.#items.has(key)) {
      this.#revision += 1;
      this.#delete(key);
      this.#notify();
    }
  }

  #write(key, value, lease) {
    const former = this.#items.get(key);
    this.#leases.get(former?.Lease)?.keys.delete(key);
    const item = {
      Created: former?.Created ?? this.#revision,
      Key: key,
      Lease: lease,
      Rev: this.#revision,
      Value: value,
    };
    this.#items.set(key, item);
    this.#leases.get(lease)?.keys.add(key);
    this.#history.push(item);
  }

  #delete(key) {
    this.#leases.get(this.#items.get(key)?.Lease)?.keys.delete(key);
    this.#items.delete(key);
    this.#history.push({Deleted: true, Key: key, Rev: this.#revision});
  }

  #notify() {
    for (const waiter of [...this.#waiters]) {
      waiter();
    }
  }

  #expire() {
    const now = performance.now();
    for (const [id, lease] of this.#leases) {
      if (lease.until <= now) {
        this.#end(id, lease);
      }
    }
  }

  #end(id, lease) {
    this.#leases.delete(id);
    const keys = [...lease.keys].filter((key) => this.#items.get(key)?.Lease === id);
    if (keys.length > 0) {
      this.#revision += 1;
      for (const key of keys) {
        this.#items.delete(key);
        this.#history.push({Deleted: true, Key: key, Rev: this.#revision});
      }
      this.#notify();
    }
  }

  async #serve(call, response) {
    const trouble = this.trouble(call);
    if (trouble?.silent) {
      return;
    }
    if (trouble?.status !== undefined) {
      answer(response, trouble.status);
      return;
    }
    if (trouble?.lateMs !== undefined) {
      await sleep(trouble.lateMs);
      this.#execute(call);
      return;
    }
    await sleep(this.delayMs + (trouble?.delayMs ?? 0));
    if (call.path === '/api/kv-watch') {
      this.#watch(call, response);
      return;
    }
    const [status, body] = this.#execute(call);
    answer(response, status, body);
  }

  #execute({body, method, path, query}) {
    this.#expire();
    const CurrentRev = this.#revision;
    if (path === '/api/kv-key') {
      const item = this.#items.get(query.get('Key'));
      return item ? [200, {...item, CurrentRev}] : [404, {CurrentRev}];
    }
    if (path === '/api/kv-range') {
      const after = query.get('After') ?? '';
      const keys = this.keys(query.get('Prefix') ?? '').filter((key) => key > after);
      const items = keys.slice(0, PAGE).map((key) => this.#items.get(key));
      return [200, {CurrentRev, HasMore: keys.length > PAGE, items}];
    }
    if (path === '/api/kv-txn' && method === 'POST') {
      return this.#commit(body);
    }
    if (path === '/api/kv-lease' && method === 'POST') {
      const id = this.#lease++;
      const TtlMs = Math.max(1000, body.TtlMs);
      this.#leases.set(id, {keys: new Set(), ttlMs: TtlMs, until: performance.now() + TtlMs});
      return [200, {Lease: id, TtlMs}];
    }
    const id = Number(path.split('/').at(-1));
    const lease = this.#leases.get(id);
    if (path.startsWith('/api/kv-keep/')) {
      if (lease === undefined) {
        return [404, {}];
      }
      lease.until = performance.now() + lease.ttlMs;
      return [200, {TtlMs: lease.ttlMs}];
    }
    if (path.startsWith('/api/kv-lease-end/')) {
      if (lease === undefined) {
        return [404, {}];
      }
      this.#end(id, lease);
      return [200, {}];
    }
    return [400, {}];
  }

  #commit({ExpectedRev = [], Puts = [], Remove = []}) {
    if (ExpectedRev.length + Puts.length + Remove.length > 32) {
      return [400, {}];
    }
    const names = [...Puts.map(({Key}) => Key), ...Remove];
    if (names.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
      return [403, {}];
    }
    if (ExpectedRev.some(({Key, Rev}) => (this.#items.get(Key)?.Rev ?? 0) !== Rev)) {
      const items = ExpectedRev.flatMap(({Key}) => this.#items.get(Key) ?? []);
      return [412, {CurrentRev: this.#revision, items}];
    }
    if (Puts.some(({Lease = 0}) => Lease !== 0 && !this.#leases.has(Lease))) {
      return [404, {}];
    }
    const removed = Remove.filter((key) => this.#items.has(key));
    if (Puts.length + removed.length > 0) {
      this.#revision += 1;
      for (const {Key, Lease = 0, Value} of Puts) {
        this.#write(Key, Value, Lease);
      }
      for (const key of removed) {
        this.#delete(key);
      }
      this.#notify();
    }
    return [200, {Rev: this.#revision}];
  }

  #watch({query}, response) {
    const after = Number(query.get('After'));
    const prefix = query.get('Prefix') ?? '';
    if (after < this.#compacted) {
      answer(response, 410);
      return;
    }
    const timeout = setTimeout(() => finish([]), Number(query.get('WaitMs') ?? 0));
    const find = () => {
      const events = [];
      for (let at = this.#history.length - 1; at >= 0 && this.#history[at].Rev > after; at -= 1) {
        if (this.#history[at].Key.startsWith(prefix)) {
          events.push(this.#history[at]);
        }
      }
      return events.reverse();
    };
    const finish = (events) => {
      clearTimeout(timeout);
      this.#waiters.delete(check);
      answer(response, 200, {CurrentRev: this.#revision, events});
    };
    const check = () => {
      const events = find();
      if (events.length > 0) {
        finish(events);
      }
    };
    this.#waiters.add(check);
    check();
  }
}
