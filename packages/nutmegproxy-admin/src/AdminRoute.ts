/** Routes of the administration API and matching of request paths. */

import type {Instant} from '@nutmegproxy/core';

import type {AdminResponse} from './AdminResponse.ts';

export type AdminMethod = 'DELETE' | 'GET' | 'POST';

/** An authenticated request whose body was read completely. */
export interface AdminRequest {
  /** Parsed JSON; undefined without a body. */
  readonly body: unknown;
  readonly now: Instant;
  /** Decoded values of the path segments whose pattern starts with a colon. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
}

export type AdminHandler = (request: AdminRequest) => AdminResponse | Promise<AdminResponse>;

export interface AdminRoute {
  readonly handler: AdminHandler;
  readonly method: AdminMethod;
  /** Path such as `/v1/drains/:target/:id`. */
  readonly path: string;
}

/** A route that matches a request's path. */
export interface RouteMatch {
  readonly params: Readonly<Record<string, string>>;
  readonly route: AdminRoute;
}

function decodePart(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}

/**
 * Matches a path against a route's pattern and returns the parameters, or undefined without a match.
 *
 * @example
 * matchPath('/v1/drains/:target/:id', '/v1/drains/rack/r1'); // {id: 'r1', target: 'rack'}
 */
export function matchPath(
  pattern: string,
  path: string,
): Readonly<Record<string, string>> | undefined {
  const patternParts = pattern.split('/');
  const pathParts = path.split('/');
  if (patternParts.length !== pathParts.length) {
    return undefined;
  }
  const params: Record<string, string> = {};
  for (const [index, part] of patternParts.entries()) {
    const value = decodePart(pathParts[index] ?? '');
    if (value === undefined) {
      return undefined;
    }
    if (part.startsWith(':')) {
      params[part.slice(1)] = value;
    } else if (part !== value) {
      return undefined;
    }
  }
  return params;
}
