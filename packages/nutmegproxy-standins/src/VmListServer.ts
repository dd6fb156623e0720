/** The stand-in for the platform's VM list; it can return a frozen or delayed list. */

import type {Vm, VmReport} from '@nutmegproxy/schema';

import {SYSTEM_CLOCK} from '@nutmegproxy/core';

import type {HttpExchange, Standin} from './HttpListener.ts';

import {listen, parseControl, sendJson} from './HttpListener.ts';
import {VM_LIST_HISTORY} from './StandinsConstants.ts';

/** Body of POST /control. */
export interface VmListControl {
  readonly down?: boolean;
  /** Keeps returning the current list, even after it is changed. */
  readonly freeze?: boolean;
  /** Returns the list as it was this long ago. */
  readonly lagMs?: number;
  readonly vms?: readonly Vm[];
}

interface TimedReport {
  readonly at: number;
  readonly report: VmReport;
}

/** Returns the changes from `base` to `report`. */
function diffReports(base: VmReport, report: VmReport): VmReport {
  const before = new Map(base.vms.map((vm) => [vm.id, JSON.stringify(vm)]));
  const listed = new Set(report.vms.map(({id}) => id));
  return {
    removed: [...before.keys()].filter((id) => !listed.has(id)),
    revision: report.revision,
    since: base.revision,
    vms: report.vms.filter((vm) => before.get(vm.id) !== JSON.stringify(vm)),
  };
}

export class VmListServer {
  #down = false;
  #frozen: undefined | VmReport;
  #lagMs = 0;
  #reports: TimedReport[] = [{at: 0, report: {revision: 0, vms: []}}];

  control(message: VmListControl, now: number = SYSTEM_CLOCK.monotonic()): void {
    this.#down = message.down ?? this.#down;
    this.#lagMs = message.lagMs ?? this.#lagMs;
    if (message.freeze !== undefined) {
      this.#frozen = message.freeze ? this.report(now) : undefined;
    }
    if (message.vms !== undefined) {
      const revision = (this.#reports.at(-1)?.report.revision ?? 0) + 1;
      this.#reports.push({at: now, report: {revision, vms: [...message.vms]}});
      this.#reports = this.#reports.slice(-VM_LIST_HISTORY);
    }
  }

  /** Returns the list that is visible at `now`. */
  report(now: number): VmReport {
    const visible = this.#reports.filter(({at}) => at <= now - this.#lagMs);
    const latest = visible.at(-1) ?? this.#reports[0];
    return this.#frozen ?? latest?.report ?? {revision: 0, vms: []};
  }

  start(port = 0): Promise<Standin> {
    return listen(port, {
      'GET /vms': (exchange) => {
        this.#list(exchange);
      },
      'POST /control': ({body, response}) => {
        this.control(parseControl(body) as VmListControl);
        sendJson(response, {});
      },
    });
  }

  #list({request, response}: HttpExchange): void {
    if (this.#down) {
      response.destroy();
      return;
    }
    const report = this.report(SYSTEM_CLOCK.monotonic());
    if (request.headers['if-none-match'] === `"${report.revision}"`) {
      response.writeHead(304).end();
      return;
    }
    const since = new URL(request.url ?? '/', 'http://list').searchParams.get('since');
    const base = this.#reports.find((each) => String(each.report.revision) === since)?.report;
    sendJson(response, base === undefined ? report : diffReports(base, report));
  }
}
