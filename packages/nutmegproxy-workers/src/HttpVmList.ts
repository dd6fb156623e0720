/** HTTP client of the platform's VM list. */

import type {VmReport} from '@nutmegproxy/schema';
import type {Result, ResultAsync} from 'neverthrow';

import {validateVmReport} from '@nutmegproxy/schema';
import {BODY_STALL_TIMEOUT_MS} from '@nutmegproxy/store';
import {err, ok} from 'neverthrow';
import {Agent} from 'undici';

import type {PlatformFailure, VmList} from './VmList.ts';

import {readResponse, sendPlatformCall} from './PlatformCall.ts';
import {CONNECT_TIMEOUT_MS, VM_LIST_TIMEOUT_MS} from './PlatformConstants.ts';

const NOT_MODIFIED = 304;

/** Applies an incremental report to the full report that it is based on. */
function mergeReport(
  last: undefined | VmReport,
  report: VmReport,
): Result<VmReport, PlatformFailure> {
  if (report.since === undefined) {
    return ok(report);
  }
  if (last?.revision !== report.since) {
    return err({kind: 'malformed', message: 'the changes are based on another revision'});
  }
  const vms = new Map(last.vms.map((vm) => [vm.id, vm]));
  for (const id of report.removed ?? []) {
    vms.delete(id);
  }
  for (const vm of report.vms) {
    vms.set(vm.id, vm);
  }
  return ok({revision: report.revision, vms: [...vms.values()]});
}

/**
 * Reads `GET <base URL>/vms`. Every returned report contains the whole list. Only the changes since
 * the last read are transferred if the server supports it, and nothing if there are none.
 *
 * @example
 * const report = await new HttpVmList('http://10.0.0.5:8500').read();
 */
export class HttpVmList implements VmList {
  readonly #agent = new Agent({connect: {timeout: CONNECT_TIMEOUT_MS}, connections: 1});
  readonly #baseUrl: URL;
  #lastReport: undefined | VmReport;
  readonly #timeoutMs: number;

  constructor(baseUrl: string, timeoutMs = VM_LIST_TIMEOUT_MS) {
    this.#baseUrl = new URL(baseUrl);
    this.#timeoutMs = timeoutMs;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  read(): ResultAsync<VmReport, PlatformFailure> {
    const last = this.#lastReport;
    const query = last === undefined ? '' : `?since=${last.revision}`;
    return sendPlatformCall(this.#agent, {
      bodyStallTimeoutMs: BODY_STALL_TIMEOUT_MS,
      headers: last === undefined ? {} : {'if-none-match': `"${last.revision}"`},
      method: 'GET',
      origin: this.#baseUrl.origin,
      path: `${this.#baseUrl.pathname.replace(/\/$/, '')}/vms${query}`,
      timeoutMs: this.#timeoutMs,
    })
      .andThen((response) =>
        response.status === NOT_MODIFIED && last !== undefined
          ? ok(last)
          : readResponse(response, validateVmReport).andThen((report) => mergeReport(last, report)),
      )
      .andTee((report) => {
        this.#lastReport = report;
      })
      .orTee((failure) => {
        // After a malformed response, the next read requests the whole list.
        this.#lastReport = failure.kind === 'malformed' ? undefined : this.#lastReport;
      });
  }
}
