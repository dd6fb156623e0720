/** The platform's list of VMs over HTTP. */

import type {VmReport} from '@nutmegproxy/schema';
import type {ResultAsync} from 'neverthrow';

import {validateVmReport} from '@nutmegproxy/schema';
import {ok} from 'neverthrow';
import {Agent} from 'undici';

import type {PlatformFailure, VmList} from './VmList.ts';

import {readAnswer, sendPlatform} from './PlatformCall.ts';
import {CONNECT_TIMEOUT_MS, VM_LIST_TIMEOUT_MS} from './PlatformConstants.ts';

const NOT_MODIFIED = 304;

/**
 * Reads `GET <base URL>/vms`. While the revision is unchanged, the same report object is returned and the
 * list itself isn't transferred.
 *
 * @example
 * const report = await new HttpVmList('http://10.0.0.5:8500').read();
 */
export class HttpVmList implements VmList {
  readonly #agent = new Agent({connect: {timeout: CONNECT_TIMEOUT_MS}, connections: 1});
  readonly #baseUrl: URL;
  #last: undefined | VmReport;
  readonly #timeoutMs: number;

  constructor(baseUrl: string, timeoutMs = VM_LIST_TIMEOUT_MS) {
    this.#baseUrl = new URL(baseUrl);
    this.#timeoutMs = timeoutMs;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  read(): ResultAsync<VmReport, PlatformFailure> {
    const last = this.#last;
    return sendPlatform(this.#agent, {
      headers: last === undefined ? {} : {'if-none-match': `"${last.revision}"`},
      method: 'GET',
      origin: this.#baseUrl.origin,
      path: `${this.#baseUrl.pathname.replace(/\/$/, '')}/vms`,
      timeoutMs: this.#timeoutMs,
    }).andThen((answer) => {
      if (answer.status === NOT_MODIFIED && last !== undefined) {
        return ok(last);
      }
      return readAnswer(answer, validateVmReport).andTee((report) => {
        this.#last = report;
      });
    });
  }
}
