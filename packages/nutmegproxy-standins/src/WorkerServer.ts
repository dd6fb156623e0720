/** The HTTP server of the worker stand-in. */

import type {Resources} from '@nutmegproxy/schema';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';
import {validateTaskStarts, validateWorkerSync} from '@nutmegproxy/schema';
import {setTimeout as sleep} from 'node:timers/promises';

import type {HttpExchange, Standin} from './HttpListener.ts';
import type {ClockReading, WorkerFaults} from './WorkerModel.ts';

import {listen, parseControl, sendJson} from './HttpListener.ts';
import {WORKER_TICK_MS} from './StandinsConstants.ts';
import {WorkerModel} from './WorkerModel.ts';

/** Body of POST /control. */
export interface WorkerControl extends WorkerFaults {
  readonly delayMs?: number;
  /** Number of next calls whose responses are lost after execution. */
  readonly loseNext?: number;
  /** Calls have no effect and get no response; running tasks continue until their leases expire. */
  readonly unreachable?: boolean;
}

function readClocks(): ClockReading {
  return {monotonic: SYSTEM_CLOCK.monotonic(), wall: SYSTEM_CLOCK.wall()};
}

export class WorkerServer {
  #delayMs = 0;
  #loseNext = 0;
  readonly model: WorkerModel;
  #unreachable = false;

  constructor(id: string, capacity: Resources) {
    this.model = new WorkerModel(id, capacity);
  }

  control(message: WorkerControl): void {
    this.#delayMs = message.delayMs ?? this.#delayMs;
    this.#loseNext = message.loseNext ?? this.#loseNext;
    this.#unreachable = message.unreachable ?? this.#unreachable;
    this.model.change(message);
  }

  async start(port = 0): Promise<Standin> {
    const standin = await listen(port, {
      'GET /history': ({response}) => {
        this.model.advance(readClocks());
        sendJson(response, this.model.history);
      },
      'POST /control': ({body, response}) => {
        this.control(parseControl(body) as WorkerControl);
        sendJson(response, {});
      },
      'POST /v1/start': (exchange) => this.#respond(exchange, (body) => this.#start(body)),
      'POST /v1/sync': (exchange) => this.#respond(exchange, (body) => this.#sync(body)),
    });
    const timer = setInterval(() => {
      this.model.advance(readClocks());
    }, WORKER_TICK_MS);
    return {
      close: () => {
        clearInterval(timer);
        return standin.close();
      },
      port: standin.port,
    };
  }

  async #respond({body, response}: HttpExchange, execute: (body: unknown) => unknown) {
    if (this.#delayMs > 0) {
      await sleep(this.#delayMs);
    }
    if (this.#unreachable) {
      response.destroy();
      return;
    }
    const result = execute(JSON.parse(body.toString()));
    if (this.#loseNext > 0) {
      this.#loseNext -= 1;
      response.destroy();
      return;
    }
    sendJson(response, result);
  }

  #start(body: unknown): unknown {
    if (!validateTaskStarts(body)) {
      throw new Error('task starts do not match the schema');
    }
    return this.model.start(body, readClocks());
  }

  #sync(body: unknown): unknown {
    if (!validateWorkerSync(body)) {
      throw new Error('worker sync does not match the schema');
    }
    return this.model.sync(body, readClocks());
  }
}
