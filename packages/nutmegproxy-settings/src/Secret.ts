/** A secret that no log, error message or answer shows by accident. */

import {inspect} from 'node:util';

const REDACTED = '[secret]';

/** Wraps a secret; every way of printing it gives `[secret]`. */
export class Secret {
  readonly #value: string;

  constructor(value: string) {
    this.#value = value;
  }

  [inspect.custom](): string {
    return REDACTED;
  }

  /** The secret itself, for the one place that needs it. */
  reveal(): string {
    return this.#value;
  }

  toJSON(): string {
    return REDACTED;
  }

  toString(): string {
    return REDACTED;
  }
}
