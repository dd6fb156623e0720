/** Routes of the administration API and how a request finds its route. */

import type {Instant} from '@nutmegproxy/core';

import type {AdminResponse} from './AdminResponse.ts';

export type AdminMethod = 'DELETE' | 'GET' | 'POST';

/** A request that was authenticated and read whole. */
export interface AdminRequest {
  /** Parsed JSON; undefined when there was no body. */
  readonly body: unknown;
  readonly now: Instant;
  /** Values of the parts of the path that start with a colon, decoded. */
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

/** What the path of a request matched. */
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
 * Matches a path against a route's pattern; undefined when it doesn't fit.
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
