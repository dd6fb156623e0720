// A small deployment on loopback addresses: the store, minions, the list of machines, and entry VMs
// that are started with the command of deploy/system.toml. Records what was sent, answered and run.
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {answer, listen, sleep} from './http.mjs';
import {Minion} from './minion.mjs';
import {Store} from './store.mjs';

export {sleep} from './http.mjs';

const HOST = 'queue.example';
const STORE_HOST = '127.0.0.2';
const CLOUD_HOST = '127.0.0.3';

async function freePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const {port} = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The command of the only role of the deploy file, split at spaces. */
function readCommand() {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
  return run.split(' ');
}

/** A number from 0 to 1, the same sequence for each seed. */
export function createRandom(seed) {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

export class Deployment {
  jobs = new Map();
  minions = [];
  /** Process ends that the script did not cause. */
  ownEnds = [];
  record = [];
  runs = [];
  store = new Store();
  vms = [];
  /** Tickets of the advising service: by step and minion, with the incarnation and the end of their validity. */
  #tickets = new Map();
  #advisor;
  #bounds;
  #cloud;
  #command = readCommand();
  #directory = mkdtempSync(join(tmpdir(), 'review-'));
  #random;
  #startedMs = performance.now();
  #version = 0;

  cpuCores = 1;

  constructor({bounds = {}, seed = 1, zones = ['a', 'b', 'c']} = {}) {
    this.#bounds = {
      DrainMs: 2000,
      GraceS: 6,
      HarmMs: 4000,
      HoldMaxMs: 10000,
      RemoteFactor: 1.5,
      RestoreMs: 600,
      StopTimeoutMs: 900,
      finish_s: 14,
      status_s: 120,
      ...bounds,
    };
    this.zones = zones;
    this.#random = createRandom(seed);
  }

  random() {
    return this.#random();
  }

  /** Milliseconds since the deployment was made. */
  now() {
    return performance.now() - this.#startedMs;
  }

  log(text) {
    this.record.push(`${(this.now() / 1000).toFixed(3).padStart(8)} s  ${text}`);
  }

  async start({capacity = {Cpu: 16000, MemMb: 64000}, minions = 8, vms = 3, routes} = {}) {
    const cloudPort = await freePort(CLOUD_HOST);
    this.#cloud = await listen(CLOUD_HOST, cloudPort, (call, response) =>
      answer(response, 200, {Machines: this.#listMachines(), NextToken: ''}),
    );
    const advisorPort = await freePort(CLOUD_HOST);
    this.#advisor = await listen(
      CLOUD_HOST,
      advisorPort,
      (call, response) => void this.#advise(call, response),
    );
    this.configure(routes ?? [this.route('batch')]);
    const pending = [];
    for (let at = 0; at < minions; at += 1) {
      const minion = new Minion(this, {
        capacity,
        host: '127.0.0.4',
        id: `w${(0x5a00 + at * 37).toString(16)}`,
        labels: ['a', `r${1 + (at % 3)}`],
        machine: `m-${at}`,
        service: 'mesa',
        zone: this.zones[at % this.zones.length],
      });
      this.minions.push(minion);
      pending.push(minion.start());
    }
    await Promise.all(pending);
    const [front, ready] = [await freePort('127.0.0.11'), await freePort('127.0.0.11')];
    const first = await freePort('127.0.0.11');
    for (let at = 0; at < vms; at += 1) {
      const ip = `127.0.0.${11 + at}`;
      const name = `edge-${at + 1}`;
      const file = join(this.#directory, `${name}.toml`);
      // Each VM has a port of its own at the store, so that the store can turn away some of them.
      const storePort = await freePort(STORE_HOST);
      await this.store.listen(STORE_HOST, storePort);
      const {DrainMs, GraceS, HarmMs, HoldMaxMs, RemoteFactor, RestoreMs} = this.#bounds;
      const {StopTimeoutMs, finish_s: finishS, status_s: statusS} = this.#bounds;
      // As deploy/settings.template has it.
      const settings = {
        advisor: `${CLOUD_HOST}:${advisorPort}`,
        bounds: {
          drainMs: DrainMs,
          finishS,
          maxExceededTargetMs: HarmMs,
          maxMinionLeaseMs: HoldMaxMs,
          minStoreLeaseMs: 1000,
          remoteRackFactor: RemoteFactor,
          restoreMs: RestoreMs,
          stopTimeoutMs: StopTimeoutMs,
        },
        dataCentre: this.zones[at % this.zones.length],
        limits: {cpuCores: this.cpuCores, cpuShare: 0.675, memoryMb: 350},
        listen: {
          callers: `${ip}:${front}`,
          host: ip,
          metricsPort: 9464,
          readiness: `${ip}:${ready}`,
          relayPort: first,
        },
        machines: `${CLOUD_HOST}:${cloudPort}`,
        region: 'region',
        store: {address: `${STORE_HOST}:${storePort}`},
        timings: {graceS: GraceS, statusS},
        vm: name,
      };
      writeFileSync(file, JSON.stringify(settings));
      this.vms.push({
        file,
        front: {host: ip, port: front},
        name,
        output: '',
        ready: {host: ip, port: ready},
        storePort,
      });
      this.startVm(at);
    }
    const deadline = performance.now() + 15_000;
    while (performance.now() < deadline) {
      const codes = await Promise.all(this.vms.map((vm) => this.readiness(vm)));
      if (codes.every((code) => code === 200) && this.owner() !== undefined) {
        await sleep(1_500);
        return;
      }
      await sleep(100);
    }
    throw new Error('the entry VMs were not ready in time');
  }

  startVm(at) {
    const vm = this.vms[at];
    const [program, ...words] = this.#command;
    const {HOME, LANG, PATH} = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      env: {HOME, LANG, NUTMEGPROXY_NODE_FILE: vm.file, PATH},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    vm.child = child;
    vm.isKilled = false;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => {
        vm.output += chunk;
      });
    }
    child.once('exit', (code, signal) => {
      if (vm.child === child && !vm.isKilled) {
        this.ownEnds.push(`${vm.name}: code ${code}, signal ${signal}`);
        this.log(`${vm.name} ended by itself: code ${code}, signal ${signal}`);
      }
    });
  }

  signal(vm, name) {
    vm.isKilled ||= name === 'SIGKILL' || name === 'SIGTERM';
    this.log(`${name} to ${vm.name}`);
    vm.child.kill(name);
  }

  /** The VM that the store names as the owner of the fleet. */
  owner() {
    const owner = this.store.json('nutmegproxy/fleet/owner');
    return this.vms.find(({name}) => name === owner?.vm);
  }

  stop() {
    for (const vm of this.vms) {
      vm.isKilled = true;
      vm.child?.kill('SIGCONT');
      vm.child?.kill('SIGKILL');
    }
    for (const minion of this.minions) {
      minion.close();
    }
    this.#advisor?.close();
    this.#advisor?.closeAllConnections();
    this.#cloud?.close();
    this.#cloud?.closeAllConnections();
    this.store.stop();
    rmSync(this.#directory, {force: true, recursive: true});
  }

  route(name, more = {}) {
    return {
      Host: HOST,
      MaxAttempts: 3,
      Name: name,
      Prefix: `/${name}/`,
      Priority: 1,
      Service: 'mesa',
      Stretch: 2,
      TargetDurationMs: 1000,
      ...more,
    };
  }

  /** The operator writes a configuration. */
  configure(routes) {
    this.#version += 3;
    this.store.put('op/config', {
      Limits: {
        HeaderTimeoutMs: 3000,
        IdleTimeoutMs: 15000,
        MaxBodyBytes: 262144,
        MaxHeaderBytes: 16384,
      },
      Routes: routes,
      Services: [{AdmissionCheck: false, Name: 'mesa'}],
      Version: this.#version,
    });
    this.log(`configuration ${this.#version}: ${routes.map(({Name}) => Name).join(' ')}`);
  }

  #listMachines() {
    return this.minions.map((minion) => ({
      Capacity: minion.capacity,
      Id: minion.isGone ? '' : minion.id,
      Labels: minion.labels,
      Machine: minion.machine,
      Pool: minion.service,
      State: minion.isGone ? 'down' : 'up',
      Zone: minion.zone,
    }));
  }

  /** Status code of a call to an address, or 0 without an answer; `body` is the parsed answer. */
  call({host, port}, {body, method, path, timeoutMs = 3_000}) {
    return new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const request = httpRequest({
        agent: false,
        headers: {
          host: HOST,
          'x-deadline-ms': String(timeoutMs),
          ...(text === undefined
            ? {}
            : {'content-length': Buffer.byteLength(text), 'content-type': 'application/json'}),
        },
        host,
        method,
        path,
        port,
      });
      const timeout = setTimeout(() => {
        request.destroy();
        resolve({status: 0});
      }, timeoutMs);
      request.on('error', () => {
        clearTimeout(timeout);
        resolve({status: 0});
      });
      request.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('end', () => {
          clearTimeout(timeout);
          let parsed;
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString());
          } catch {
            parsed = undefined;
          }
          resolve({
            body: parsed,
            retryAfter: response.headers['retry-after'],
            status: response.statusCode,
          });
        });
      });
      request.end(text);
    });
  }

  async readiness({ready}) {
    const {status} = await this.call(ready, {
      method: 'GET',
      path: '/api/readiness',
      timeoutMs: 500,
    });
    return status;
  }

  /** A call of a client, with its answer in the record. */
  async client(vm, method, path, {body, timeoutMs} = {}) {
    this.log(`client: ${method} ${path} to ${vm.name}`);
    const answered = await this.call(vm.front, {body, method, path, timeoutMs});
    const {status} = answered;
    const text = answered.body === undefined ? '' : ` ${JSON.stringify(answered.body)}`;
    const shown = status === 0 ? 'no answer' : `${status}${text}`;
    this.log(`client: ${method} ${path} to ${vm.name}: ${shown}`);
    return answered;
  }

  createId() {
    return Array.from({length: 16}, () => Math.floor(this.random() * 16).toString(16)).join('');
  }

  /** A job that a client will hand in; `behave(task, number)` returns {ms, how} of each run. */
  createJob(queue, phases, {behave, more = {}} = {}) {
    const id = this.createId();
    const job = {
      behave: behave ?? (() => ({how: 'done', ms: 500})),
      body: {Phases: phases, Spec: `spec of ${id}`, ...more},
      id,
      path: `/${queue}/${id}`,
      queue,
    };
    this.jobs.set(id, job);
    return job;
  }

  // What minions call.

  /** The service at `Advisor`: here every minion may run every step. */
  async #advise({body}, response) {
    const {DecideMs = 20, EachMs = 1} = this.advice;
    await sleep(DecideMs + EachMs * body.Workers.length);
    const Good = body.Workers.map((id) => {
      const ticket = `t${(this.#tickets.size + 1).toString(16)}`;
      const minion = this.minions.find((each) => each.id === id);
      const until = performance.now() + this.advice.ValidMs;
      this.#tickets.set(ticket, {id, incarnation: minion?.incarnation, step: body.Step, until});
      return [id, ticket];
    });
    answer(response, 200, {Good, ValidMs: this.advice.ValidMs});
  }

  /** What the queues of `advised` need of their starts. */
  advice = {DecideMs: 20, EachMs: 1, ValidMs: 20_000};
  advised = new Set();

  /** Whether a start may not begin, as its queue needs a ticket and it has none that is valid. */
  lacksTicket(minion, task, ticket) {
    if (!this.advised.has(this.jobs.get(task.split('.')[0])?.queue)) {
      return false;
    }
    const known = this.#tickets.get(ticket);
    const step = task.slice(0, task.lastIndexOf('.'));
    return !(
      known?.id === minion.id &&
      known.incarnation === minion.incarnation &&
      known.step === step &&
      performance.now() < known.until
    );
  }

  phase(run) {
    const [id, , step] = run.task.split('.');
    return this.jobs.get(id)?.body.Phases[Number(step)];
  }

  recordStart(run) {
    this.runs.push(run);
    run.at = this.now();
    run.wall = Date.now();
    this.log(`start ${run.task}/${run.number} on ${run.minion.id}`);
    const job = this.jobs.get(run.task.split('.')[0]);
    const phase = this.phase(run);
    const {how = 'done', ms = 500} = job?.behave(run.task, run.number, run) ?? {};
    const every = phase?.Checkpoints ? 1_000 : 0;
    const restored = run.checkpoint === '' ? 0 : Number.parseInt(run.checkpoint.slice(0, 8), 16);
    run.saved = () => {
      if (every === 0) {
        return run.checkpoint;
      }
      const worked = restored + Math.floor((performance.now() - run.startedMs) / every);
      return worked === 0 ? '' : worked.toString(16).padStart(8, '0') + run.task.slice(0, 8);
    };
    const remaining = ms === Infinity ? Infinity : Math.max(50, ms - restored * every);
    run.workMs = remaining;
    if (phase?.Gang) {
      run.how = how;
      run.ms = remaining;
      this.#joinGang(run, phase);
    } else if (ms !== Infinity) {
      run.timer = setTimeout(() => run.minion.end(run, how), remaining);
    }
  }

  /** The members of a gang work from when all of one run are there, and end together. */
  #joinGang(run, phase) {
    const members = this.#findMembers(run);
    if (members.length < phase.Count) {
      run.timer = setTimeout(() => run.minion.end(run, 'alone'), 3_000);
      return;
    }
    const failing = members.find(({how}) => how !== 'done');
    for (const member of members) {
      clearTimeout(member.timer);
    }
    if (run.ms === Infinity) {
      return;
    }
    run.timer = setTimeout(() => {
      if (failing !== undefined) {
        failing.minion.end(failing, 'failed');
        return;
      }
      for (const member of members) {
        member.isTogether = true;
      }
      for (const member of members) {
        member.minion.end(member, 'done');
      }
    }, run.ms);
  }

  #findMembers(run) {
    const step = run.task.slice(0, run.task.lastIndexOf('.') + 1);
    return this.minions
      .flatMap((minion) => [...minion.runs.values()])
      .filter(({number, task}) => task.startsWith(step) && number === run.number);
  }

  /** Rejected starts; only the first ones are in the record. */
  rejected = 0;

  recordRejected(minion, task, number, reason) {
    this.rejected += 1;
    if (this.rejected <= 20) {
      this.log(`start ${task}/${number} rejected on ${minion.id}: ${reason}`);
    }
  }

  recordEnd(run, how) {
    run.endedAt = this.now();
    run.outcome = how;
    this.log(`end ${run.task}/${run.number} on ${run.minion.id}: ${how}`);
    if (this.phase(run)?.Gang && !run.isTogether) {
      for (const member of this.#findMembers(run)) {
        member.minion.end(member, 'broken');
      }
    }
  }

  recordNoted(minion, task, number, how) {
    const run = this.runs.find(
      (each) => each.minion === minion && each.task === task && each.number === number,
    );
    if (run !== undefined) {
      run.notedAt ??= this.now();
      run.notedHow = how;
    }
  }

  /** Share of its work that a run has done, as whole percent; 100 once a lasting task is at work. */
  percent(run) {
    if (this.phase(run)?.LongRunning) {
      return 100;
    }
    const worked = (performance.now() - run.startedMs) / (run.workMs ?? 500);
    return Math.min(99, Math.floor(worked * 100));
  }

  reading(run) {
    return this.phase(run)?.TargetMs ? 5 : (this.phase(run)?.Cpu ?? 0);
  }

  /** Writes the record and ends all; exits with 1 if the rule was broken, 0 if it held. */
  finish(folder, verdict, text) {
    this.log(text);
    writeFileSync(join(folder, 'record.txt'), `${this.record.join('\n')}\n`);
    this.stop();
    process.stdout.write(`${text}\n`);
    process.exit(verdict);
  }
}

/** Runs a case: exits with 2 if it could not run, and after 115 s at the latest. */
export async function runCase(folder, play, bounds = {}) {
  const deployment = new Deployment({bounds, seed: Number(process.env.SEED ?? '1')});
  const giveUp = (text) => deployment.finish(folder, 2, `could not run: ${text}`);
  setTimeout(() => giveUp('took too long'), 115_000).unref();
  process.on('SIGINT', () => giveUp('interrupted'));
  process.on('SIGTERM', () => giveUp('terminated'));
  process.on('uncaughtException', (error) => giveUp(error.stack));
  await play(deployment, {hasTrouble: process.env.TROUBLE !== '0'}).catch((error) =>
    giveUp(error.stack),
  );
}
