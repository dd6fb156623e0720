/** Adapts the route of tasks to the callers' listener: buffers requests and sends responses. */

import type {IncomingMessage, ServerResponse} from 'node:http';

import type {RouteHandler, RouteResponse} from './TaskRoutes.ts';

import {MAX_BODY_BYTES} from './TasksConstants.ts';

/** One request of the callers' listener. */
export interface RouteExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const TOO_LARGE: RouteResponse = {
  body: JSON.stringify({error: 'the body is too large'}),
  headers: {connection: 'close', 'nutmegproxy-outcome': 'not-run'},
  status: 413,
};

const INCOMPLETE: RouteResponse = {
  body: JSON.stringify({error: 'the body did not arrive whole'}),
  headers: {connection: 'close', 'nutmegproxy-outcome': 'not-run'},
  status: 400,
};

async function readBody(request: IncomingMessage): Promise<'broken' | 'too-large' | Buffer> {
  const parts: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const part of request) {
      const buffer = part as Buffer;
      bytes += buffer.length;
      if (bytes > MAX_BODY_BYTES) {
        return 'too-large';
      }
      parts.push(buffer);
    }
  } catch {
    return 'broken';
  }
  return request.complete ? Buffer.concat(parts) : 'broken';
}

async function handleRequest(
  handler: RouteHandler,
  request: IncomingMessage,
): Promise<RouteResponse> {
  const body = await readBody(request);
  if (body === 'too-large') {
    return TOO_LARGE;
  }
  if (body === 'broken') {
    return INCOMPLETE;
  }
  const [path = ''] = (request.url ?? '').split('?');
  return handler({body, headers: request.headers, method: request.method ?? '', path});
}

/**
 * Creates a handler for the callers' listener from a route handler.
 *
 * @example
 * const unregister = requests.registerCallerRoute('/tasks', adaptRoute(route));
 */
export function adaptRoute(handler: RouteHandler): (exchange: RouteExchange) => Promise<void> {
  return async ({request, response}) => {
    const {body, headers, status} = await handleRequest(handler, request);
    if (!response.destroyed) {
      const length = String(Buffer.byteLength(body));
      response.writeHead(status, {...headers, 'content-length': length});
      response.end(body);
    }
  };
}
