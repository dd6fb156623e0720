/** The minion stand-in: responds to requests, records them and injects faults. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {Standin} from './HttpListener.ts';

import {listenOn, parseControl, readBody, sendJson} from './HttpListener.ts';
import {HISTORY_CAPACITY} from './StandinsConstants.ts';

export const IDEMPOTENCY_HEADER = 'idempotency-key';
export const LEAVING_HEADER = 'nutmegproxy-leaving';
export const REFUSED_HEADER = 'nutmegproxy-refused';
export const REQUEST_HEADER = 'nutmegproxy-request';
/** Service time of the request in ms; set by benchmark callers. */
export const SERVICE_TIME_HEADER = 'standin-service-ms';

const DEFAULT_RESPONSE_BYTES = 256;

/** `refuse` runs nothing; `reset` and `truncate` interrupt the response at a byte after the work. */
export type MinionFaultKind = 'hang' | 'none' | 'refuse' | 'reset' | 'truncate';

export interface MinionFault {
  readonly atByte?: number;
  readonly kind: MinionFaultKind;
  /** Number of requests that the fault affects; all by default. */
  readonly next?: number;
  readonly seed?: number;
  /** Share of the requests that the fault affects, 0 to 1. */
  readonly share?: number;
}

/** Body of POST /control. */
export interface MinionControl {
  readonly answerBytes?: number;
  readonly fault?: MinionFault;
  readonly leaving?: boolean;
  /** Multiplier of service times. */
  readonly serviceFactor?: number;
  readonly serviceMs?: number;
}

/**
 * One request as observed by the minion; times are wall-clock ms. `incomplete`: the body was not fully
 * received, so nothing ran; `cut`: it ran, but its response was not fully sent.
 */
export interface MinionRequest {
  bodyBytes: number;
  endedAt?: number;
  readonly idempotencyKey?: string;
  outcome: 'answered' | 'cut' | 'incomplete' | 'refused' | 'running';
  readonly path: string;
  readonly request: string;
  readonly startedAt: number;
  /** A fault withheld or truncated the response. */
  struck?: boolean;
}

export interface MinionCounters {
  readonly concurrent: number;
  readonly mostConcurrent: number;
  readonly mostConnections: number;
  readonly total: number;
}

export interface MinionLimits {
  readonly connections: number;
  readonly slots: number;
}

/**
 * Builds the response body of a minion, which identifies the request.
 *
 * @example
 * const expected = minionAnswer('request-7', 256);
 */
export function buildMinionResponse(request: string, bytes: number): string {
  const unit = `${request};`;
  return unit.repeat(Math.ceil(bytes / unit.length)).slice(0, bytes);
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

type ResponseSender = (response: ServerResponse, body: string, fault: MinionFault) => void;

function sendPart(response: ServerResponse, body: string, bytes: number, after: () => void): void {
  response.writeHead(200, {'content-length': Buffer.byteLength(body)});
  response.flushHeaders();
  response.write(body.slice(0, bytes), after);
}

const RESPONSE_SENDERS: Record<Exclude<MinionFaultKind, 'refuse'>, ResponseSender> = {
  hang: () => undefined,
  none: (response, body) => {
    response.writeHead(200, {'content-length': Buffer.byteLength(body)});
    response.end(body);
  },
  reset: (response, body, {atByte}) => {
    sendPart(response, body, atByte ?? 0, () => response.socket?.resetAndDestroy());
  },
  truncate: (response, body, {atByte}) => {
    sendPart(response, body, atByte ?? 0, () => response.socket?.end());
  },
};

export class MinionServer {
  #responseBytes = DEFAULT_RESPONSE_BYTES;
  #concurrent = 0;
  readonly #connections = new Set<Socket>();
  #fault: MinionFault = {kind: 'none'};
  readonly #history: MinionRequest[] = [];
  #leaving = false;
  readonly #limits: MinionLimits;
  #mostConcurrent = 0;
  #mostConnections = 0;
  #random: RandomGenerator = xoroshiro128plus(1);
  #serviceFactor = 1;
  #serviceMs = 0;
  #total = 0;

  constructor(limits: MinionLimits) {
    this.#limits = limits;
  }

  get counters(): MinionCounters {
    return {
      concurrent: this.#concurrent,
      mostConcurrent: this.#mostConcurrent,
      mostConnections: this.#mostConnections,
      total: this.#total,
    };
  }

  get history(): readonly MinionRequest[] {
    return this.#history;
  }

  control(message: MinionControl): void {
    this.#responseBytes = message.answerBytes ?? this.#responseBytes;
    this.#fault = message.fault ?? this.#fault;
    this.#leaving = message.leaving ?? this.#leaving;
    this.#serviceFactor = message.serviceFactor ?? this.#serviceFactor;
    this.#serviceMs = message.serviceMs ?? this.#serviceMs;
    if (message.fault?.seed !== undefined) {
      this.#random = xoroshiro128plus(message.fault.seed);
    }
  }

  start(port = 0): Promise<Standin> {
    const server = createServer((request, response) => {
      void this.#route(request, response);
    });
    return listenOn(server, port);
  }

  async #route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const paths: Record<string, () => Promise<void> | void> = {
      '/control': async () => {
        const body = await readBody(request);
        this.control(parseControl(body ?? Buffer.alloc(0)) as MinionControl);
        sendJson(response, {});
      },
      '/counters': () => {
        sendJson(response, {...this.counters, limits: this.#limits});
      },
      '/history': () => {
        sendJson(response, this.#history);
      },
    };
    const handle = paths[request.url ?? '/'] ?? (() => this.#serve(request, response));
    await handle();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#countConnection(request.socket);
    this.#concurrent += 1;
    this.#total += 1;
    this.#mostConcurrent = Math.max(this.#mostConcurrent, this.#concurrent);
    const record = this.#record(request);
    response.on('close', () => {
      this.#concurrent -= 1;
      this.#finish(record, response.writableFinished);
    });
    const body = await readBody(request);
    if (body === undefined) {
      response.destroy();
      return;
    }
    record.bodyBytes = body.length;
    record.outcome = 'running';
    const serviceMs = Number(readHeader(request, SERVICE_TIME_HEADER) ?? this.#serviceMs);
    await this.#run(record, response, serviceMs * this.#serviceFactor);
  }

  async #run(record: MinionRequest, response: ServerResponse, serviceMs: number): Promise<void> {
    const fault = this.#drawFault();
    if (this.#leaving) {
      response.setHeader(LEAVING_HEADER, 'true');
    }
    if (fault.kind === 'refuse') {
      record.outcome = 'refused';
      response.setHeader(REFUSED_HEADER, 'true');
      sendJson(response, {error: 'refused'}, 503);
      return;
    }
    if (fault.kind !== 'none') {
      record.struck = true;
    }
    if (serviceMs > 0) {
      await sleep(serviceMs);
    }
    const send = RESPONSE_SENDERS[fault.kind];
    send(response, buildMinionResponse(record.request, this.#responseBytes), fault);
  }

  /** Returns the fault that affects the current request. */
  #drawFault(): MinionFault {
    const fault = this.#fault;
    if (fault.share !== undefined && uniformFloat64(this.#random) >= fault.share) {
      return {kind: 'none'};
    }
    if (fault.next !== undefined) {
      const next = fault.next - 1;
      this.#fault = next > 0 ? {...fault, next} : {kind: 'none'};
    }
    return fault;
  }

  #record(request: IncomingMessage): MinionRequest {
    const idempotencyKey = readHeader(request, IDEMPOTENCY_HEADER);
    const record: MinionRequest = {
      bodyBytes: 0,
      ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
      outcome: 'incomplete',
      path: request.url ?? '/',
      request: readHeader(request, REQUEST_HEADER) ?? '',
      startedAt: SYSTEM_CLOCK.wall(),
    };
    this.#history.push(record);
    if (this.#history.length > HISTORY_CAPACITY) {
      this.#history.shift();
    }
    return record;
  }

  #finish(record: MinionRequest, whole: boolean): void {
    record.endedAt = SYSTEM_CLOCK.wall();
    if (record.outcome === 'running') {
      record.outcome = whole ? 'answered' : 'cut';
    }
  }

  #countConnection(socket: Socket): void {
    if (this.#connections.has(socket)) {
      return;
    }
    this.#connections.add(socket);
    this.#mostConnections = Math.max(this.#mostConnections, this.#connections.size);
    socket.on('close', () => this.#connections.delete(socket));
  }
}
