/** Commands between features: a payload is passed to handlers in order of priority. */

import type {Unregister} from './Unregister.ts';

export const PRIORITY_LOW = 0;
export const PRIORITY_NORMAL = 1;
export const PRIORITY_HIGH = 2;

export type Priority = typeof PRIORITY_HIGH | typeof PRIORITY_LOW | typeof PRIORITY_NORMAL;

/** A kind of command. `Payload` is a phantom type: dispatchers and handlers must agree on it. */
export interface Command<Payload> {
  readonly name: string;
  readonly payload?: Payload;
}

/** Handles a command; true ends the dispatch, false passes it to the next handler. */
export type CommandHandler<Payload> = (payload: Payload) => boolean;

interface Registration {
  readonly handler: CommandHandler<never>;
  readonly priority: Priority;
}

/**
 * Creates a kind of command.
 *
 * @example
 * export const CATALOGUE_CHANGED = createCommand<{revision: number}>('CATALOGUE_CHANGED');
 */
export function createCommand<Payload>(name: string): Command<Payload> {
  return {name};
}

/** Dispatches commands to registered handlers, highest priority first. */
export class CommandBus {
  readonly #registrations = new Map<Command<never>, Registration[]>();

  /** Passes `payload` to the handlers of `command`; returns whether one of them handled it. */
  dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean {
    const registrations = this.#registrations.get(command as Command<never>) ?? [];
    return registrations.some(({handler}) => (handler as CommandHandler<Payload>)(payload));
  }

  register<Payload>(
    command: Command<Payload>,
    handler: CommandHandler<Payload>,
    priority: Priority,
  ): Unregister {
    const key = command as Command<never>;
    const registration: Registration = {handler, priority};
    const current = this.#registrations.get(key) ?? [];
    // The sort is stable: handlers of equal priority keep their registration order.
    this.#registrations.set(
      key,
      [...current, registration].sort((a, b) => b.priority - a.priority),
    );
    return () => {
      const rest = (this.#registrations.get(key) ?? []).filter((each) => each !== registration);
      this.#registrations.set(key, rest);
    };
  }
}
