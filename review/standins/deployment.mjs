/**
 * A small deployment on loopback addresses: entry VMs started with the command of the deploy file, and
 * stand-ins of the store, the minions and the list of machines. Writes what happens to record.txt.
 */

import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {Gangs, Minion} from './minion.mjs';
import {findFreePort} from './ports.mjs';
import {Store} from './store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** The command of deploy/system.toml. */
const COMMAND = ['node', '--max-old-space-size=128', 'target/nutmegproxy.cjs'];
const HOST = '127.0.0.1';
const QUEUE_HOST = 'queue.example';
const CALL_TIMEOUT_MS = 3_000;
const MAX_CASE_MS = 115_000;
/** Events of a minion that end a run. */
const ENDS = new Set(['alone', 'done', 'failed', 'lapsed', 'lost', 'stopped']);

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until the condition holds; false when it does not hold in time. */
export async function until(condition, timeoutMs) {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) {
      return false;
    }
    await sleep(20);
  }
  return true;
}

export class Deployment {
  events = [];
  minions = [];
  store = new Store();
  vms = [];
  #directory = mkdtempSync(join(tmpdir(), 'nutmegproxy-review-'));
  #lines = [];
  #machineList;
  #record;
  #startedAt = performance.now();

  constructor(folder) {
    this.#record = join(folder, 'record.txt');
    writeFileSync(this.#record, '');
    process.on('exit', () => {
      for (const {child} of this.vms) {
        child?.kill('SIGKILL');
      }
      this.flush();
    });
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.on(signal, () => process.exit(2));
    }
    process.on('uncaughtException', (error) => {
      this.log({event: 'error', message: String(error.stack)});
      process.exit(2);
    });
    setTimeout(() => {
      this.log({event: 'the case took too long'});
      process.exit(2);
    }, MAX_CASE_MS).unref();
  }

  now() {
    return performance.now() - this.#startedAt;
  }

  /** Adds a line to record.txt. */
  log(fields) {
    const line = {ms: Math.round(this.now()), ...fields};
    this.events.push({...line, ms: this.now()});
    this.#lines.push(JSON.stringify(line));
  }

  flush() {
    if (this.#lines.length > 0) {
      appendFileSync(this.#record, `${this.#lines.join('\n')}\n`);
      this.#lines = [];
    }
  }

  /** Starts the stand-ins, the operator's first configuration and the entry VMs. */
  async start({minions, routes, vms = 3}) {
    const storeAddress = await this.store.start(HOST);
    const machinesAddress = await this.#startMachineList();
    this.store.put('op/config', {
      Limits: {},
      Routes: routes.map((route) => ({Host: QUEUE_HOST, Service: 'service', ...route})),
      Services: [{AdmissionCheck: false, Name: 'service'}],
      Version: 1,
    });
    const gangs = new Gangs();
    for (const [index, options] of minions.entries()) {
      const minion = new Minion({
        gangs,
        host: HOST,
        id: `minion-${index}`,
        machine: `machine-${index}`,
        record: (event) => this.log(event),
        service: 'service',
        store: this.store,
        zone: 'zone-a',
        ...options,
      });
      this.minions.push(minion);
      await minion.start(await findFreePort(HOST));
    }
    for (let index = 0; index < vms; index += 1) {
      const vm = await this.#createVm(index, storeAddress, machinesAddress);
      this.vms.push(vm);
      this.#spawn(vm);
    }
    return until(() => this.#areReady(), 15_000);
  }

  /** Returns the VM whose key says that it owns the fleet. */
  findOwner() {
    const owner = this.store.read('nutmegproxy/fleet/owner');
    return owner === undefined
      ? undefined
      : this.vms.find(({name}) => name === JSON.parse(owner).vm);
  }

  /** Kills a VM's process, and starts it again after a pause. */
  async kill(vm, downMs) {
    this.log({event: 'kill', vm: vm.name});
    vm.child.kill('SIGKILL');
    await sleep(downMs);
    this.#spawn(vm);
  }

  /** Sends a client's request to a VM; status 0 means that there was no answer. */
  call(vm, method, path, body) {
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      const [host, port] = vm.callers.split(':');
      const headers = {host: QUEUE_HOST, 'x-deadline-ms': String(CALL_TIMEOUT_MS)};
      const request = httpRequest({agent: false, headers, host, method, path, port}, (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          const answer = Buffer.concat(chunks).toString();
          let parsed;
          try {
            parsed = JSON.parse(answer);
          } catch {
            parsed = undefined;
          }
          resolve({body: parsed, status: response.statusCode});
        });
        response.on('error', () => resolve({body: undefined, status: 0}));
      });
      request.setTimeout(CALL_TIMEOUT_MS, () => request.destroy());
      request.on('error', () => resolve({body: undefined, status: 0}));
      if (text !== undefined) {
        request.setHeader('content-type', 'application/json');
        request.setHeader('content-length', Buffer.byteLength(text));
      }
      request.end(text);
    });
  }

  /** Hands a job in; a client repeats the request until it is accepted. */
  async submit(prefix, id, job, vmIndex = 0) {
    for (let attempt = 0; attempt < 10; attempt += 1) {
      const vm = this.vms[(vmIndex + attempt) % this.vms.length];
      const {status} = await this.call(vm, 'POST', `${prefix}${id}`, job);
      this.log({event: 'submit', job: id, status, vm: vm.name});
      if (status >= 200 && status < 300) {
        return true;
      }
      await sleep(300);
    }
    return false;
  }

  /** Reads the states that VMs show of jobs: the name of the state, or the status without one. */
  async readStates(prefix, ids) {
    const states = new Map();
    for (const [index, id] of ids.entries()) {
      const vm = this.vms[index % this.vms.length];
      const {body, status} = await this.call(vm, 'GET', `${prefix}${id}`);
      const shown = status === 200 ? body.State : status;
      this.log({event: 'state', job: id, shown, vm: vm.name});
      states.set(id, shown);
    }
    return states;
  }

  /** Returns those jobs of which nothing has run from an instant until now. */
  listIdle(ids, sinceMs) {
    const live = new Set();
    const active = new Set();
    for (const {event, life, minion, ms, run, task} of this.events) {
      const name = `${minion} ${life} ${task} ${run}`;
      if (event === 'started') {
        live.add(name);
        if (ms >= sinceMs) {
          active.add(task.split('.')[0]);
        }
      } else if (ENDS.has(event) && live.delete(name) && ms >= sinceMs) {
        active.add(task.split('.')[0]);
      }
    }
    const isLive = (id) => [...live].some((name) => name.split(' ')[2].startsWith(id));
    return ids.filter((id) => !active.has(id) && !isLive(id));
  }

  /** Ends everything that was started. */
  async close() {
    for (const vm of this.vms) {
      vm.isClosing = true;
      vm.child?.kill('SIGKILL');
    }
    await Promise.all(this.vms.map(({exited}) => exited));
    for (const minion of this.minions) {
      if (minion.isUp) {
        minion.stop();
      }
    }
    this.store.close();
    this.#machineList.close();
    this.#machineList.closeAllConnections();
    this.flush();
    rmSync(this.#directory, {force: true, recursive: true});
  }

  async #areReady() {
    const states = await Promise.all(this.vms.map((vm) => this.#isReady(vm)));
    return states.every((state) => state) && this.findOwner() !== undefined;
  }

  #isReady({readiness}) {
    return new Promise((resolve) => {
      const [host, port] = readiness.split(':');
      const request = httpRequest(
        {agent: false, host, path: '/api/readiness', port},
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.setTimeout(1_000, () => request.destroy());
      request.on('error', () => resolve(false));
      request.end();
    });
  }

  async #createVm(index, store, machines) {
    const name = `edge-zone-a-${index + 1}`;
    const callers = `${HOST}:${await findFreePort(HOST)}`;
    const readiness = `${HOST}:${await findFreePort(HOST)}`;
    const settingsPath = join(this.#directory, `${name}.json`);
    const settings = {
      dataCentre: 'zone-a',
      limits: {cpuCores: 1, cpuShare: 0.675, memoryMb: 350},
      listen: {
        callers,
        host: HOST,
        metricsPort: await findFreePort(HOST),
        readiness,
        relayPort: await findFreePort(HOST),
      },
      machines,
      region: 'region',
      store: {address: store},
      timings: {graceS: 6, statusS: 120},
      vm: name,
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    return {callers, child: undefined, exited: undefined, name, readiness, settingsPath};
  }

  #spawn(vm) {
    const log = openSync(join(this.#directory, `${vm.name}.log`), 'a');
    const [program, ...options] = COMMAND;
    vm.child = spawn(program, options, {
      cwd: ROOT,
      env: {NUTMEGPROXY_NODE_FILE: vm.settingsPath, PATH: process.env.PATH},
      stdio: ['ignore', log, log],
    });
    vm.exited = new Promise((resolve) => {
      vm.child.once('exit', (code, signal) => {
        this.log({code, event: 'exit', signal, vm: vm.name});
        resolve();
      });
      vm.child.once('error', resolve);
    });
  }

  async #startMachineList() {
    this.#machineList = createServer((request, response) => {
      const present = this.minions.filter(({hasLeft = false}) => !hasLeft);
      const Machines = present.map(({capacity, id, isUp, kind, machine, rack, zone}) => ({
        Capacity: capacity,
        Id: isUp ? id : '',
        Labels: [kind, rack],
        Machine: machine,
        Pool: 'service',
        State: isUp ? 'up' : 'down',
        Zone: zone,
      }));
      response.writeHead(200, {'content-type': 'application/json'});
      response.end(JSON.stringify({Machines, NextToken: ''}));
    });
    const port = await findFreePort(HOST);
    await new Promise((resolve) => this.#machineList.listen(port, HOST, resolve));
    return `${HOST}:${this.#machineList.address().port}`;
  }
}
