/** A secret that can't be printed by accident in a log, an error message or a response. */

import {inspect} from 'node:util';

const REDACTED = '[secret]';

/** Wraps a secret; inspecting it or converting it to a string or JSON yields `[secret]`. */
export class Secret {
  readonly #value: string;

  constructor(value: string) {
    this.#value = value;
  }

  [inspect.custom](): string {
    return REDACTED;
  }

  /** Returns the plain text of the secret. */
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
