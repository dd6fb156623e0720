// A minion as PROTOCOL.md describes it (Orders = "call", AdmissionCheck false). The world that it
// belongs to knows how its tasks behave and records what they do.
import {answer, listen} from './http.mjs';

const HEARTBEAT_MS = 1_100;
const HOLD_MAX_MS = 10_000;
const ENDS = 500;

export class Minion {
  /** Whether its process is gone: calls are neither carried out nor answered. */
  isDown = false;
  /** Called for each call: undefined, {status}, or {lateMs} (carried out late and not answered). */
  trouble = () => undefined;
  incarnation = 0;
  state = 'ready';
  /** Whether it reaches the store. */
  isListed = true;
  runs = new Map();
  #world;
  #server;
  #bornAt = 0;
  #bornMs = 0;
  #ends = [];
  #sequence = 0;
  #token = 0;
  #used = new Map();
  #until = 0;
  #beat;
  #beats = 0;
  #silentBeats = 0;
  #waiters = new Set();
  #sockets = new Set();

  constructor(
    world,
    {capacity, host, id, labels = ['a', 'r1'], machine, service, stopMs = 100, zone},
  ) {
    Object.assign(this, {capacity, host, id, labels, machine, service, stopMs, zone});
    this.#world = world;
  }

  async start() {
    this.#server = await listen(this.host, 0, (call, response) => this.#serve(call, response));
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.address = `${this.host}:${this.#server.address().port}`;
    this.#begin();
    this.#beat = setInterval(() => this.#report(), HEARTBEAT_MS);
    this.#report();
  }

  close() {
    clearInterval(this.#beat);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Its process ends without a word; it starts again under the same id after `downMs`. */
  crash(downMs) {
    this.isDown = true;
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.#world.recordEnd(run, 'crashed');
    }
    this.runs.clear();
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
    setTimeout(() => {
      this.isDown = false;
      this.#begin();
      this.#report();
    }, downMs);
  }

  /** Reports that it drains; it serves on. */
  drain() {
    this.state = 'draining';
    this.#report();
  }

  /** Changes that its heartbeat would report at once, since more than `Sequence` changes. */
  #report() {
    if (this.isDown || !this.isListed) {
      this.#silentBeats += 1;
      if (this.#silentBeats === 3) {
        this.#world.store.remove(`servers/${this.id}`);
      }
      return;
    }
    this.#silentBeats = 0;
    this.#beats += 1;
    this.#world.store.put(`servers/${this.id}`, {
      Address: this.address,
      Capacity: this.capacity,
      ClockMs: this.#clock(),
      ColdLeftMs: 0,
      Labels: this.labels,
      Machine: this.machine,
      Sequence: this.#beats,
      Service: this.service,
      Slots: 8,
      State: this.state,
      Version: '1',
      Zone: this.zone,
      born: this.#bornAt,
    });
  }

  #begin() {
    this.incarnation += 1;
    this.#bornAt = Date.now();
    this.#bornMs = performance.now();
    this.#ends = [];
    this.#sequence = 0;
    this.#token = 0;
    this.#used.clear();
    this.#until = 0;
    this.#beats = 0;
    clearTimeout(this.#lapse);
  }

  #clock() {
    return Math.floor(performance.now() - this.#bornMs) + 1;
  }

  #lapse;

  #extend(until) {
    if (typeof until !== 'number') {
      return;
    }
    this.#until = Math.max(this.#until, Math.min(until, this.#clock() + HOLD_MAX_MS));
    clearTimeout(this.#lapse);
    this.#lapse = setTimeout(
      () => {
        if (this.#clock() >= this.#until) {
          for (const run of [...this.runs.values()]) {
            this.end(run, 'lapsed');
          }
        }
      },
      Math.max(0, this.#until - this.#clock()) + 1,
    );
  }

  /** Ends a run and lists its end. */
  end(run, how) {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    this.#used.set(run.task, Math.max(run.number, this.#used.get(run.task) ?? 0));
    this.#sequence += 1;
    run.endSequence = this.#sequence;
    run.endIncarnation = this.incarnation;
    this.#ends.push([this.#sequence, run.task, run.number, how, run.saved()]);
    this.#world.recordEnd(run, how);
    for (const waiter of [...this.#waiters]) {
      waiter();
    }
  }

  #serve(call, response) {
    if (this.isDown) {
      return;
    }
    const trouble = this.trouble(call);
    if (trouble?.status !== undefined) {
      answer(response, trouble.status, {ClockMs: this.#clock()});
      return;
    }
    if (trouble?.lateMs !== undefined) {
      const {incarnation} = this;
      setTimeout(() => {
        if (!this.isDown && this.incarnation === incarnation) {
          this.#execute(call);
        }
      }, trouble.lateMs);
      return;
    }
    if (call.path === '/api/hold') {
      this.#hold(call, response);
      return;
    }
    const [status, body] = this.#execute(call);
    answer(response, status, {ClockMs: this.#clock(), ...body});
  }

  #reject({body, headers}) {
    if ((headers['x-expect-instance'] ?? this.id) !== this.id) {
      return [421, {}];
    }
    const token = body.FencingToken ?? 0;
    if (token < this.#token) {
      return [409, {Reason: 'fence'}];
    }
    this.#token = token;
    return undefined;
  }

  #execute(call) {
    const rejected = this.#reject(call);
    if (rejected !== undefined) {
      return rejected;
    }
    const {body, path} = call;
    if (path === '/api/run-start') {
      return this.#start(body);
    }
    if (path === '/api/run-stop') {
      return this.#stop(body);
    }
    return path === '/api/pace' ? [200, {}] : [400, {}];
  }

  #start({FencingToken, LastCheckpoint = '', RunId, Spec, Task, Ticket, UntilMs}) {
    if (this.runs.get(Task)?.number === RunId) {
      this.#extend(UntilMs);
      return [200, {}];
    }
    if (UntilMs <= this.#clock()) {
      return [409, {Reason: 'late'}];
    }
    this.#extend(UntilMs);
    if (RunId <= (this.#used.get(Task) ?? 0)) {
      return [409, {Reason: 'old'}];
    }
    if (this.#world.lacksTicket(this, Task, Ticket)) {
      this.#world.recordRejected(this, Task, RunId, 'ticket');
      return [409, {Reason: 'ticket'}];
    }
    const startedMs = performance.now();
    const run = {
      checkpoint: LastCheckpoint,
      minion: this,
      number: RunId,
      saved: () => LastCheckpoint,
      spec: Spec,
      startedMs,
      task: Task,
      token: FencingToken,
    };
    this.runs.set(Task, run);
    this.#world.recordStart(run);
    return [200, {}];
  }

  #stop({RunId, Task}) {
    this.#used.set(Task, Math.max(RunId, this.#used.get(Task) ?? 0));
    const run = this.runs.get(Task);
    if (run !== undefined && run.number <= RunId && !run.isStopping) {
      run.isStopping = true;
      clearTimeout(run.timer);
      run.timer = setTimeout(() => this.end(run, 'stopped'), this.stopMs);
    }
    return [200, {}];
  }

  #hold(call, response) {
    const rejected = this.#reject(call);
    if (rejected !== undefined) {
      answer(response, rejected[0], {ClockMs: this.#clock(), ...rejected[1]});
      return;
    }
    const {AckedThrough = 0, UntilMs, WaitMs = 0} = call.body;
    this.#extend(UntilMs);
    const acked = this.#ends.filter(([sequence]) => sequence <= AckedThrough);
    this.#ends = this.#ends.filter(([sequence]) => sequence > AckedThrough);
    for (const [, task, number, how] of acked) {
      this.#world.recordNoted(this, task, number, how);
    }
    const {incarnation} = this;
    const finish = () => {
      clearTimeout(timeout);
      this.#waiters.delete(finish);
      if (this.isDown || this.incarnation !== incarnation) {
        return;
      }
      answer(response, 200, {
        ClockMs: this.#clock(),
        Ended: this.#ends.slice(0, ENDS),
        Running: [...this.runs.values()].map((run) => [
          run.task,
          run.number,
          run.saved(),
          this.#world.percent(run),
          this.#world.reading(run),
        ]),
        born: this.#bornAt,
      });
    };
    const timeout = setTimeout(finish, this.#ends.length > 0 ? 0 : WaitMs);
    this.#waiters.add(finish);
  }
}
