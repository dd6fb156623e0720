// Checks that dist/nutmegproxy prints its version, serves a request and exits with 0 on SIGTERM.
import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

const BINARY = 'dist/nutmegproxy';
const READY_LIMIT_MS = 30_000;
const POLL_MS = 100;
const ENVIRONMENT = {
  ...process.env,
  NUTMEGPROXY_PEER_SECRET: 'peer-secret-of-the-binary-check-0123456789',
  NUTMEGPROXY_TOKEN: 'token-of-the-binary-check',
};

const children = [];

/** Starts a program and returns it with the match of the first output line that fits the pattern. */
async function start(command, words, pattern) {
  const child = spawn(command, words, {env: ENVIRONMENT, stdio: ['ignore', 'pipe', 'inherit']});
  children.push(child);
  for await (const line of createInterface({input: child.stdout})) {
    const match = pattern.exec(line);
    if (match !== null) {
      child.stdout.resume();
      return {child, match};
    }
  }
  throw new Error(`${command} ${words.join(' ')} exited before it was ready`);
}

async function startStandin(kind) {
  const {match} = await start(process.execPath, ['dist/standins.cjs', kind], /^ready (\d+)$/);
  return `127.0.0.1:${match[1]}`;
}

function run(words) {
  const result = spawnSync(BINARY, words, {encoding: 'utf8', env: ENVIRONMENT});
  if (result.status !== 0) {
    throw new Error(`${words.join(' ')} exited with code ${result.status}: ${result.stderr}`);
  }
  return result.stdout.trim();
}

function writeJson(folder, name, value) {
  const path = join(folder, name);
  writeFileSync(path, JSON.stringify(value));
  return path;
}

async function listMinion(vmList, minion) {
  const vm = {
    address: minion,
    connections: 64,
    dataCentre: 'dc-a',
    id: 'minion-1',
    role: 'minion',
    service: 'oportuna',
    slots: 8,
    state: 'live',
  };
  const body = JSON.stringify({vms: [vm]});
  await fetch(`http://${vmList}/control`, {body, method: 'POST'});
}

async function requestUntilSuccess(url) {
  for (let waitedMs = 0; waitedMs < READY_LIMIT_MS; waitedMs += POLL_MS) {
    const response = await fetch(url, {body: 'credit call', method: 'POST'});
    const text = await response.text();
    if (response.status === 200) {
      return text;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error('timed out waiting for a successful response from the binary');
}

async function check(folder) {
  console.log(`version ${run(['--version'])}`);
  const [store, vmList, minion] = await Promise.all(
    ['store', 'vm-list', 'minion'].map((kind) => startStandin(kind)),
  );
  await listMinion(vmList, minion);
  const any = '127.0.0.1:0';
  const settings = writeJson(folder, 'settings.json', {
    dataCentre: 'dc-a',
    listen: {callers: any, operators: any, peers: any},
    platform: {store: [`http://${store}`], vmList: `http://${vmList}`},
    region: 'north',
    secrets: {operator: {env: 'NUTMEGPROXY_TOKEN'}, peer: {env: 'NUTMEGPROXY_PEER_SECRET'}},
    timings: {stopDelayMs: 100},
    vm: 'entry-1',
  });
  const catalogue = writeJson(folder, 'catalogue.json', {
    entries: [
      {
        class: 'latency-critical',
        id: 'alert',
        kind: 'request',
        limits: {timeoutMs: 5_000},
        owner: 'alertas',
        service: 'oportuna',
      },
    ],
    teams: [{id: 'alertas'}],
  });
  const ready = /^ready callers=(\d+) operators=(\d+)/;
  const {child, match} = await start(BINARY, ['serve', '--settings', settings], ready);
  const server = `http://127.0.0.1:${match[2]}`;
  run(['catalogue', 'apply', catalogue, '--revision', '0', '--server', server]);
  const body = await requestUntilSuccess(`http://127.0.0.1:${match[1]}/entries/alert/send`);
  console.log(`received a response of ${body.length} characters`);
  child.kill('SIGTERM');
  const [code] = await once(child, 'exit');
  if (code !== 0) {
    throw new Error(`serve exited with code ${code} on SIGTERM`);
  }
  console.log('exited with code 0 on SIGTERM');
}

const folder = mkdtempSync(join(tmpdir(), 'nutmegproxy-binary-'));
try {
  await check(folder);
} finally {
  for (const child of children) {
    child.kill('SIGKILL');
  }
  rmSync(folder, {recursive: true});
}
