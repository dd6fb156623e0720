/** A caller that sends requests one after another and records their outcomes. */

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {buildMinionResponse} from '@nutmegproxy/standins';
import {setTimeout as sleep} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {request} from 'undici';

import type {CallerOutcome, CallerRequest} from './History.ts';
import type {HistoryRecorder} from './HistoryRecorder.ts';
import type {TestEntry} from './TestEntry.ts';

const RESPONSE_BYTES = 256;
/** Far above the deadline of any entry; a call that takes longer got no final response. */
const CALL_TIMEOUT_MS = 20_000;
/** One in this many non-idempotent requests has an idempotency key and is sent twice. */
const KEYED_REQUEST_INTERVAL = 3;
/** Error codes of calls that timed out. */
const TIMEOUT_CODES = new Set(['UND_ERR_BODY_TIMEOUT', 'UND_ERR_HEADERS_TIMEOUT']);
/** Error codes of connections that were not established, so that no request was sent. */
const CONNECT_FAILURE_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

interface CallResult {
  readonly answer?: string;
  readonly expectedAnswer?: string;
  readonly outcome: CallerOutcome;
}

function readHeader(headers: Record<string, string | string[] | undefined>, name: string) {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

async function send(url: string, headers: Record<string, string>): Promise<CallResult | undefined> {
  try {
    const response = await request(url, {
      body: 'work',
      bodyTimeout: CALL_TIMEOUT_MS,
      headers,
      headersTimeout: CALL_TIMEOUT_MS,
      method: 'POST',
      reset: true,
    });
    const text = await response.body.text();
    const outcome = readHeader(response.headers, 'nutmegproxy-outcome');
    if (outcome !== undefined) {
      return {outcome: outcome as CallerOutcome};
    }
    const id = readHeader(response.headers, 'nutmegproxy-request') ?? '';
    return {
      answer: text,
      expectedAnswer: buildMinionResponse(id, RESPONSE_BYTES),
      outcome: 'answered',
    };
  } catch (error) {
    const {code = ''} = error as {code?: string};
    if (CONNECT_FAILURE_CODES.has(code)) {
      return undefined;
    }
    return {outcome: TIMEOUT_CODES.has(code) ? 'pending' : 'cut'};
  }
}

/** Sends requests through entry VMs chosen at random from a seed. */
export class RequestCaller {
  readonly #entries: readonly TestEntry[];
  readonly #name: string;
  readonly #pauseMs: number;
  readonly #random: RandomGenerator;
  readonly #recorder: HistoryRecorder;
  #sent = 0;

  constructor(
    name: string,
    seed: number,
    entries: readonly TestEntry[],
    recorder: HistoryRecorder,
    pauseMs = 0,
  ) {
    this.#name = name;
    this.#random = xoroshiro128plus(seed);
    this.#entries = entries;
    this.#recorder = recorder;
    this.#pauseMs = pauseMs;
  }

  /** Sends requests until `isOver`; returns how many were answered. */
  async run(isOver: () => boolean): Promise<number> {
    let answered = 0;
    while (!isOver()) {
      const idempotent = this.#drawIndex(2) === 0;
      const keyed = !idempotent && this.#drawIndex(KEYED_REQUEST_INTERVAL) === 0;
      this.#sent += 1;
      const key = keyed ? `${this.#name}-key-${this.#sent}` : undefined;
      for (let tries = keyed ? 2 : 1; tries > 0; tries -= 1) {
        answered += (await this.#sendOne(idempotent, key)) === 'answered' ? 1 : 0;
      }
      await sleep(this.#pauseMs);
    }
    return answered;
  }

  async #sendOne(idempotent: boolean, key: string | undefined) {
    const inRotation = this.#entries.filter((each) => each.isInRotation);
    const candidates = inRotation.length > 0 ? inRotation : this.#entries;
    const entry = candidates[this.#drawIndex(candidates.length)];
    if (entry === undefined) {
      return undefined;
    }
    this.#sent += 1;
    const name = `${this.#name}-${this.#sent}`;
    const startedAt = Date.now();
    const url = `${entry.callerUrl}/entries/${idempotent ? 'proof' : 'alert'}/${name}`;
    const result = await send(url, key === undefined ? {} : {'idempotency-key': key});
    if (result === undefined) {
      return undefined;
    }
    const record: CallerRequest = {
      endedAt: Date.now(),
      idempotent,
      request: name,
      startedAt,
      vm: entry.vm,
      ...result,
      ...(key === undefined ? {} : {idempotencyKey: key}),
    };
    this.#recorder.add('requests', record);
    return result.outcome;
  }

  #drawIndex(count: number): number {
    return uniformInt(this.#random, 0, count - 1);
  }
}
