// Small HTTP helpers that all stand-ins share. Everything listens on loopback addresses.
import {createServer} from 'node:http';

/** Listens and passes each call to `handle(call, response)`; returns the server. */
export async function listen(host, port, handle) {
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', () => {
      const url = new URL(request.url, 'http://stand-in');
      const text = Buffer.concat(chunks).toString();
      const call = {
        body: text === '' ? {} : JSON.parse(text),
        headers: request.headers,
        method: request.method,
        path: url.pathname,
        query: url.searchParams,
        socket: request.socket,
      };
      handle(call, response);
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

export function answer(response, status, body = {}) {
  if (response.destroyed || response.writableEnded) {
    return;
  }
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-length': Buffer.byteLength(text),
    'content-type': 'application/json',
  });
  response.end(text);
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
