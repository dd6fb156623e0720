/** The commands for drains and planned stops; each changes the catalogue. */

import type {Command} from './CommandContext.ts';

import {sendChange} from './ChangeReport.ts';
import {reportUsage} from './CommandContext.ts';

const DRAIN_USAGE = 'drain|undrain minion|worker|rack|data-centre ID';

function withReason(reason: string | undefined): {reason?: string} {
  return reason === undefined ? {} : {reason};
}

export const runDrain: Command = async (context) => {
  const [target, id] = context.args;
  if (target === undefined || id === undefined) {
    return reportUsage(context, DRAIN_USAGE);
  }
  const body = {id, target, ...withReason(context.options.reason)};
  return sendChange(context, {body, method: 'POST', path: '/v1/drains'});
};

export const runUndrain: Command = async (context) => {
  const [target, id] = context.args;
  if (target === undefined || id === undefined) {
    return reportUsage(context, DRAIN_USAGE);
  }
  const path = `/v1/drains/${encodeURIComponent(target)}/${encodeURIComponent(id)}`;
  return sendChange(context, {method: 'DELETE', path});
};

export const runStop: Command = async (context) => {
  const [vm] = context.args;
  if (vm === undefined) {
    return reportUsage(context, 'stop VM');
  }
  const body = {vm, ...withReason(context.options.reason)};
  return sendChange(context, {body, method: 'POST', path: '/v1/stops'});
};

export const runUnstop: Command = async (context) => {
  const [vm] = context.args;
  if (vm === undefined) {
    return reportUsage(context, 'unstop VM');
  }
  return sendChange(context, {method: 'DELETE', path: `/v1/stops/${encodeURIComponent(vm)}`});
};
