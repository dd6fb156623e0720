/** Finds the queue of a call by host and longest path prefix. */

import type {Configuration, QueueRoute} from './Configuration.ts';

export class RouteTable {
  readonly version: number;
  readonly #byHost = new Map<string, QueueRoute[]>();

  constructor({routes, version}: Configuration) {
    this.version = version;
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const hostRoutes = this.#byHost.get(host);
      if (hostRoutes === undefined) {
        this.#byHost.set(host, [route]);
      } else {
        hostRoutes.push(route);
      }
    }
    for (const hostRoutes of this.#byHost.values()) {
      hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * Returns the route with the longest prefix that matches the path; undefined when none matches.
   *
   * @example
   * table.find('nony24.example', '/lohu930/5c0e7a21d94b36f8')?.id;
   */
  find(host: string, path: string): QueueRoute | undefined {
    const hostName = host.toLowerCase().replace(/:\d+$/, '');
    return this.#byHost.get(hostName)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }
}
