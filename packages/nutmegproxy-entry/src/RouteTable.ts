/** Finds the queue of a call by host and longest path prefix. */

import type {Configuration, QueueRoute} from './Configuration.ts';

export class RouteTable {
  readonly version: number;
  readonly #byHost = new Map<string, QueueRoute[]>();

  constructor({routes, version}: Configuration) {
    this.version = version;
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const others = this.#byHost.get(host);
      if (others === undefined) {
        this.#byHost.set(host, [route]);
      } else {
        others.push(route);
      }
    }
    for (const ofHost of this.#byHost.values()) {
      ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * The route whose prefix is the longest that the path begins with; undefined when none is.
   *
   * @example
   * table.find('nony24.example', '/lohu930/5c0e7a21d94b36f8')?.id;
   */
  find(host: string, path: string): QueueRoute | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    return this.#byHost.get(name)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }
}
