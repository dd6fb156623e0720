/** HTTP server for operators with bearer token authentication; features register their routes. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {createServer} from 'node:http';

import type {AdminResponse} from './AdminResponse.ts';
import type {AdminRoute, RouteMatch} from './AdminRoute.ts';

import {HEADERS_TIMEOUT_MS, MAX_CONNECTIONS, REQUEST_TIMEOUT_MS} from './AdminConstants.ts';
import {ADMIN_EVENTS} from './AdminEvents.ts';
import {createErrorResponse} from './AdminResponse.ts';
import {matchPath} from './AdminRoute.ts';
import {hasToken, readBody} from './AdminUtils.ts';

function send(response: ServerResponse, adminResponse: AdminResponse): void {
  const isJson = adminResponse.kind === 'json';
  const text = isJson ? `${JSON.stringify(adminResponse.body)}\n` : adminResponse.text;
  const contentType = isJson ? 'application/json' : adminResponse.contentType;
  response.writeHead(adminResponse.status, {
    'cache-control': 'no-store',
    'content-length': Buffer.byteLength(text),
    'content-type': contentType,
  });
  response.end(text);
}

/** The administration API of one process. */
export class AdminApi {
  readonly #node: EntryNode;
  readonly #routes: AdminRoute[] = [];
  readonly #server: Server;
  readonly #token: string;

  /** Operators send `token` as `authorization: Bearer <token>`. */
  constructor(node: EntryNode, token: string) {
    this.#node = node;
    this.#token = token;
    this.#server = createServer({
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    });
    this.#server.maxConnections = MAX_CONNECTIONS;
    this.#server.on('request', (request, response) => {
      void this.#serve(request, response);
    });
  }

  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeIdleConnections();
    });
  }

  /** Starts to listen and returns the port; rejects if the address cannot be bound. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    const address = this.#server.address() as AddressInfo;
    this.#node.events.record(ADMIN_EVENTS.LISTENING, {port: address.port});
    return address.port;
  }

  /** Adds a route; if several match a request, the one registered first handles it. */
  register(route: AdminRoute): Unregister {
    this.#routes.push(route);
    return () => {
      const index = this.#routes.indexOf(route);
      if (index >= 0) {
        this.#routes.splice(index, 1);
      }
    };
  }

  async #handle(request: IncomingMessage): Promise<AdminResponse> {
    const url = new URL(request.url ?? '/', 'http://operators');
    if (!hasToken(request.headers.authorization, this.#token)) {
      this.#node.events.record(ADMIN_EVENTS.DENIED, {path: url.pathname});
      return createErrorResponse({
        code: 'unauthorized',
        message: 'a valid operator token is required',
      });
    }
    const matches = this.#matchRoutes(url.pathname);
    const match = matches.find(({route}) => route.method === request.method);
    if (match === undefined) {
      return matches.length > 0
        ? createErrorResponse({code: 'not-allowed', message: 'method not allowed for this path'})
        : createErrorResponse({code: 'not-found', message: 'path not found'});
    }
    const body = await readBody(request);
    if (body.isErr()) {
      return createErrorResponse(body.error);
    }
    return match.route.handler({
      body: body.value,
      now: this.#node.clock.monotonic(),
      params: match.params,
      query: url.searchParams,
    });
  }

  #matchRoutes(path: string): readonly RouteMatch[] {
    return this.#routes.flatMap((route) => {
      const params = matchPath(route.path, path);
      return params === undefined ? [] : [{params, route}];
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const adminResponse = await this.#handle(request);
      if (!request.complete) {
        response.shouldKeepAlive = false;
      }
      send(response, adminResponse);
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.#node.events.record(ADMIN_EVENTS.FAILED, {message, path: request.url});
      // The error's message may contain internal details, so it is only logged.
      if (!response.headersSent) {
        send(
          response,
          createErrorResponse({code: 'internal', message: 'internal error; see the server log'}),
        );
      }
    }
  }
}

/**
 * Adds a route to the administration API.
 *
 * @example
 * registerAdminRoute(api, {handler: () => createJsonResponse({}), method: 'GET', path: '/v1/status'});
 */
export function registerAdminRoute(api: AdminApi, route: AdminRoute): Unregister {
  return api.register(route);
}
