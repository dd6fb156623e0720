/**
 * Stand-in for a minion, by the users' page PROTOCOL: fencing tokens, run numbers, a lease on its own
 * clock, results that are listed 500 at a time until they are acknowledged, heartbeats in the store.
 */

import {createServer} from 'node:http';

const HOLD_MAX_MS = 10_000;
const MAX_LISTED_ENDS = 500;
const HEARTBEAT_MS = 1_100;
/** Time after which a run fails on a minion that fails all that it starts. */
const FAILS_AFTER_MS = 100;
const GANG_TIMEOUT_MS = 3_000;
const STARTUP_MS = 300;
const STOP_MS = 50;

/** Gangs: the members of a run work from when all are present, and end together or wait in vain. */
export class Gangs {
  #members = new Map();

  join({end, run, size, task, totalMs}) {
    const name = `${task.split('.').slice(0, 3).join('.')} ${run}`;
    const members = this.#members.get(name) ?? [];
    this.#members.set(name, members);
    members.push(end);
    if (members.length === size) {
      setTimeout(() => members.forEach((each) => each('done')), totalMs);
    } else {
      setTimeout(() => members.length < size && end('alone'), GANG_TIMEOUT_MS);
    }
  }
}

export class Minion {
  /** Calls `record(event)` for each start, end and acknowledgement. */
  constructor({kind = 'plain', outcome = () => 'done', ...options}) {
    Object.assign(this, options, {kind, outcome});
    this.life = 0;
    this.isUp = false;
  }

  /** Whether the minion fails all that it starts from now on. */
  failsAll = false;

  /** Starts a life; one after a crash has the same id and address and knows nothing of before. */
  async start(port) {
    this.life += 1;
    this.acked = 0;
    this.born = Date.now();
    this.clockBase = performance.now() - 5_000;
    this.ended = [];
    this.isUp = true;
    this.leaseEnd = 0;
    this.runs = new Map();
    this.sequence = 0;
    this.token = 0;
    this.used = new Map();
    this.waiting = new Set();
    this.beats = 0;
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.#handle(request, Buffer.concat(chunks).toString(), response));
      request.on('error', () => undefined);
      response.on('error', () => undefined);
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(port, this.host, resolve));
    this.port = this.server.address().port;
    this.heartbeat = setInterval(() => this.#beat(), HEARTBEAT_MS);
    this.ticker = setInterval(() => this.#lapse(), 20);
    this.#beat();
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  /** Whether the minion has lost its lease, at which everything on it ends. */
  #lapse() {
    if (this.runs.size > 0 && this.#clock() > this.leaseEnd) {
      for (const run of [...this.runs.values()]) {
        this.#end(run, 'lapsed');
      }
    }
  }

  /** Loses power: all connections close, all runs end unreported, the port refuses connections. */
  async crash() {
    this.isUp = false;
    clearInterval(this.heartbeat);
    clearInterval(this.ticker);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.record({
        event: 'lost',
        life: this.life,
        minion: this.id,
        run: run.number,
        task: run.task,
      });
    }
    this.runs.clear();
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  /** Says that it drains, serves for some time and leaves for good with its machine. */
  async leave(drainMs) {
    this.drainsUntil = performance.now() + drainMs;
    this.record({event: 'draining', minion: this.id});
    this.#beat();
    await new Promise((resolve) => setTimeout(resolve, drainMs));
    this.hasLeft = true;
    await this.crash();
    this.store.put(`servers/${this.id}`, undefined);
    this.record({event: 'left', minion: this.id});
  }

  stop() {
    this.isUp = false;
    clearInterval(this.heartbeat);
    clearInterval(this.ticker);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
    }
    this.server.close();
    this.server.closeAllConnections();
  }

  #beat() {
    if (this.store.isDown) {
      return;
    }
    this.beats += 1;
    this.store.put(`servers/${this.id}`, {
      Address: this.address,
      Capacity: this.capacity,
      ColdLeftMs: 0,
      Labels: [this.kind, this.rack],
      Machine: this.machine,
      ...(this.drainsUntil === undefined
        ? {}
        : {RemainingMs: Math.max(0, Math.floor(this.drainsUntil - performance.now()))}),
      Sequence: this.beats,
      Service: this.service,
      Slots: 8,
      State: this.drainsUntil === undefined ? 'ready' : 'draining',
      Version: 'v1',
      Zone: this.zone,
      born: this.born,
    });
  }

  #clock() {
    return Math.floor(performance.now() - this.clockBase);
  }

  #handle(request, text, response) {
    const send = (status, body = {}) => {
      if (!response.writableEnded && !response.destroyed) {
        const data = JSON.stringify({ClockMs: this.#clock(), ...body});
        response.writeHead(status, {
          'content-length': Buffer.byteLength(data),
          'content-type': 'application/json',
        });
        response.end(data);
      }
    };
    if (request.headers['x-expect-instance'] !== this.id) {
      send(421);
      return;
    }
    const order = JSON.parse(text);
    const token = order.FencingToken ?? 0;
    if (token < this.token) {
      send(409, {Reason: 'fence'});
      return;
    }
    this.token = token;
    switch (`${request.method} ${request.url}`) {
      case 'POST /api/hold':
        this.#hold(order, send);
        return;
      case 'POST /api/run-start':
        this.#startRun(order, send);
        return;
      case 'POST /api/run-stop':
        this.#stopRun(order, send);
        return;
      case 'POST /api/pace':
        send(200);
        return;
      default:
        send(404);
    }
  }

  #grant(untilMs) {
    const longest = this.#clock() + HOLD_MAX_MS;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(untilMs ?? 0, longest));
  }

  #hold({AckedThrough = 0, UntilMs, WaitMs = 0}, send) {
    this.#grant(UntilMs);
    if (AckedThrough > this.acked) {
      for (const end of this.ended.filter(({n}) => n <= AckedThrough)) {
        this.record({
          event: 'acked',
          life: this.life,
          minion: this.id,
          run: end.run,
          task: end.task,
        });
      }
      this.acked = AckedThrough;
      this.ended = this.ended.filter(({n}) => n > AckedThrough);
    }
    const life = this.life;
    const finish = () => {
      clearTimeout(timer);
      this.waiting.delete(finish);
      if (!this.isUp || life !== this.life) {
        return;
      }
      const listed = this.ended.slice(0, MAX_LISTED_ENDS);
      for (const end of listed) {
        if (!end.isListed) {
          end.isListed = true;
          this.record({event: 'listed', life, minion: this.id, run: end.run, task: end.task});
        }
      }
      send(200, {
        Ended: listed.map(({how, n, run, task}) => [n, task, run, how, '']),
        Running: [...this.runs.values()].map(({number, startedAt, task, totalMs}) => [
          task,
          number,
          '',
          this.#percent(startedAt, totalMs),
          0,
        ]),
        born: this.born,
      });
    };
    const timer = setTimeout(finish, this.ended.length > 0 ? 0 : Math.min(2_000, WaitMs));
    this.waiting.add(finish);
  }

  /** Progress of a run; a task that lasts, whose time is Infinity, is at work once it has started up. */
  #percent(startedAt, totalMs) {
    const ageMs = performance.now() - startedAt;
    const share = ageMs / (totalMs === Infinity ? STARTUP_MS : totalMs);
    return Math.min(totalMs === Infinity ? 100 : 99, Math.floor(100 * share));
  }

  #startRun({RunId, Spec, Task, UntilMs}, send) {
    const present = this.runs.get(Task);
    if (present?.number === RunId) {
      this.#grant(UntilMs);
      send(200);
      return;
    }
    if (present !== undefined || RunId <= (this.used.get(Task) ?? 0)) {
      this.#grant(UntilMs);
      send(409, {Reason: 'old'});
      return;
    }
    if (UntilMs <= this.#clock()) {
      send(409, {Reason: 'late'});
      return;
    }
    this.#grant(UntilMs);
    const totalMs = this.taskMs(Task, Spec);
    const run = {number: RunId, startedAt: performance.now(), task: Task, totalMs};
    const isFailing = this.failsAll === true;
    if (Spec.startsWith('gang')) {
      this.gangs.join({
        end: (how) => this.#end(run, how),
        run: RunId,
        size: Number(Spec.slice(4)),
        task: Task,
        totalMs,
      });
    } else if (isFailing) {
      run.timer = setTimeout(() => this.#end(run, 'failed'), FAILS_AFTER_MS);
    } else if (totalMs !== Infinity) {
      run.timer = setTimeout(() => this.#end(run, this.outcome(Task, Spec, RunId)), totalMs);
    }
    this.runs.set(Task, run);
    this.record({event: 'started', life: this.life, minion: this.id, run: RunId, task: Task});
    send(200);
  }

  #stopRun({RunId, Task}, send) {
    const run = this.runs.get(Task);
    this.used.set(Task, Math.max(RunId, this.used.get(Task) ?? 0));
    if (run !== undefined && run.number <= RunId) {
      clearTimeout(run.timer);
      run.timer = setTimeout(() => this.#end(run, 'stopped'), STOP_MS);
    }
    send(200);
  }

  #end(run, how) {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    this.used.set(run.task, Math.max(run.number, this.used.get(run.task) ?? 0));
    this.sequence += 1;
    this.ended.push({how, n: this.sequence, run: run.number, task: run.task});
    this.record({event: how, life: this.life, minion: this.id, run: run.number, task: run.task});
    for (const finish of [...this.waiting]) {
      finish();
    }
  }
}
