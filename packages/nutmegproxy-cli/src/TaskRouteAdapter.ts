/** Lets the routes of tasks, which want whole bodies, serve on the callers' listener. */

import type {CallerExchange, CallerRouteHandler} from '@nutmegproxy/requests';
import type {RouteHandler} from '@nutmegproxy/tasks';

/** Largest body of a task submission. */
const MAX_BODY_BYTES = 1_000_000;

async function readBody({request}: CallerExchange): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_BODY_BYTES) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function pathOf({request}: CallerExchange): string {
  return (request.url ?? '/').split('?')[0] ?? '/';
}

/**
 * Reads a caller's body whole and hands the request to `handler`.
 *
 * @example
 * requests.registerCallerRoute('/tasks', adaptTaskRoute(handler));
 */
export function adaptTaskRoute(handler: RouteHandler): CallerRouteHandler {
  return async (exchange) => {
    const {request, response} = exchange;
    const body = await readBody(exchange);
    if (body === undefined) {
      response.writeHead(413, {connection: 'close', 'nutmegproxy-outcome': 'not-run'});
      response.end();
      return;
    }
    const answer = await handler({
      body,
      headers: request.headers,
      method: request.method ?? 'GET',
      path: pathOf(exchange),
    });
    response.writeHead(answer.status, {
      ...answer.headers,
      'content-length': Buffer.byteLength(answer.body),
    });
    response.end(answer.body);
  };
}
