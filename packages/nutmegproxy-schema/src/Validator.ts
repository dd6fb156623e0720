/** The interface of a generated validator. */

/** One violation of a schema. */
export interface Violation {
  /** JSON pointer to the value that violates the schema. */
  readonly instancePath: string;
  readonly keyword: string;
  readonly message?: string;
  readonly params: Readonly<Record<string, unknown>>;
}

/** Validates a value against a schema; after a failure, `errors` holds the violations. */
export interface Validator<Value> {
  (value: unknown): value is Value;
  errors?: readonly Violation[] | null;
}
