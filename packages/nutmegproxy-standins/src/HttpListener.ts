/** A small HTTP server for stand-ins: routes by method and path, JSON bodies, loopback only. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

import {delay} from '@nutmegproxy/core';
import {createServer} from 'node:http';

import {MAX_BODY_BYTES, PART_INTERVAL_MS} from './StandinsConstants.ts';

/** One request with its complete body. */
export interface HttpExchange {
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

export type HttpHandler = (exchange: HttpExchange) => Promise<void> | void;

/** Handlers by `METHOD /path`; `*` matches all other requests. */
export type HttpRoutes = Readonly<Record<string, HttpHandler>>;

/** A running stand-in. */
export interface Standin {
  close(): Promise<void>;
  readonly port: number;
}

/** Reads a complete body; returns undefined when it is incomplete or too long. */
export async function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > MAX_BODY_BYTES) {
        return undefined;
      }
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks);
}

export function sendJson(response: ServerResponse, value: unknown, status = 200): void {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-length': Buffer.byteLength(text),
    'content-type': 'application/json',
  });
  response.end(text);
}

/** Sends a response with the status 200 in parts, as a link of `bytesPerSecond` would deliver it. */
export async function sendJsonAtRate(
  response: ServerResponse,
  value: unknown,
  bytesPerSecond: number,
  onSent: (bytes: number) => void = () => undefined,
): Promise<void> {
  const body = Buffer.from(JSON.stringify(value));
  const partBytes = Math.ceil((bytesPerSecond * PART_INTERVAL_MS) / 1_000);
  const writePart = (from: number): void => {
    const part = body.subarray(from, from + partBytes);
    response.write(part);
    onSent(part.length);
  };
  response.writeHead(200, {'content-length': body.length, 'content-type': 'application/json'});
  writePart(0);
  for (let sent = partBytes; sent < body.length && !response.destroyed; sent += partBytes) {
    await delay(PART_INTERVAL_MS);
    writePart(sent);
  }
  response.end();
}

/** Parses a control message of a test without validating it. */
export function parseControl(body: Buffer): unknown {
  return body.length === 0 ? {} : JSON.parse(body.toString());
}

async function route(routes: HttpRoutes, request: IncomingMessage, response: ServerResponse) {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const handler = routes[`${request.method ?? 'GET'} ${path}`] ?? routes['*'];
  const body = await readBody(request);
  if (body === undefined) {
    response.destroy();
    return;
  }
  if (handler === undefined) {
    sendJson(response, {error: 'not found'}, 404);
    return;
  }
  try {
    await handler({body, request, response});
  } catch (error) {
    sendJson(response, {error: String(error)}, 400);
  }
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

/** Makes a server listen on the loopback address; port 0 selects a free port. */
export async function listenOn(server: Server, port: number): Promise<Standin> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address() as AddressInfo;
  return {close: () => closeServer(server), port: address.port};
}

/** Serves the routes on the loopback address. */
export function listen(port: number, routes: HttpRoutes): Promise<Standin> {
  const server = createServer((request, response) => {
    void route(routes, request, response);
  });
  return listenOn(server, port);
}
