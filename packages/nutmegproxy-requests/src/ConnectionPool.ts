/** Pool of idle connections to minions. */

import type {MinionId} from '@nutmegproxy/core';
import type {Result} from 'neverthrow';

import {ok} from 'neverthrow';

import {type MinionConnection, openConnection} from './MinionConnection.ts';

interface IdleConnections {
  readonly address: string;
  readonly connections: MinionConnection[];
}

/**
 * The user of the pool acquires a slot before it requests a connection and keeps no more idle
 * connections than free slots, so the connections never exceed this process's slots.
 */
export class ConnectionPool {
  readonly #idle = new Map<MinionId, IdleConnections>();

  async close(): Promise<void> {
    const minions = [...this.#idle.keys()];
    await Promise.all(minions.map((minion) => this.trim(minion, 0)));
  }

  /** Returns an idle connection to this address, or opens a new one. */
  async connect(
    minion: MinionId,
    address: string,
    signal: AbortSignal,
  ): Promise<Result<MinionConnection, string>> {
    const idle = this.#idle.get(minion);
    if (idle !== undefined && idle.address !== address) {
      await this.trim(minion, 0);
    }
    for (
      let connection = idle?.connections.pop();
      connection !== undefined;
      connection = idle?.connections.pop()
    ) {
      if (connection.isUsable && idle?.address === address) {
        return ok(connection);
      }
      await connection.close();
    }
    return openConnection(address, signal);
  }

  /** Returns a connection to the pool after a complete exchange; keeps at most `idleMax` idle. */
  async release(
    minion: MinionId,
    address: string,
    connection: MinionConnection,
    idleMax: number,
  ): Promise<void> {
    const idle = this.#idle.get(minion) ?? {address, connections: []};
    if (idle.address !== address || !connection.isUsable) {
      await connection.close();
      return;
    }
    idle.connections.push(connection);
    this.#idle.set(minion, idle);
    await this.trim(minion, idleMax);
  }

  /** Minions that have idle connections. */
  minions(): readonly MinionId[] {
    return [...this.#idle.keys()];
  }

  /** Closes unusable connections, and the oldest ones beyond `idleMax`. */
  async trim(minion: MinionId, idleMax: number): Promise<void> {
    const idle = this.#idle.get(minion);
    if (idle === undefined) {
      return;
    }
    const usable = idle.connections.filter((each) => each.isUsable);
    const unusable = idle.connections.filter((each) => !each.isUsable);
    const excess = usable.splice(0, Math.max(0, usable.length - idleMax));
    idle.connections.splice(0, idle.connections.length, ...usable);
    if (usable.length === 0) {
      this.#idle.delete(minion);
    }
    await Promise.all([...unusable, ...excess].map((each) => each.close()));
  }
}
