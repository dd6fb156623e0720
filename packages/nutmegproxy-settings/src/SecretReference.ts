/** Reads a secret from the source that the settings name. */

import type {SecretReference} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {err, ok} from 'neverthrow';
import {readFileSync} from 'node:fs';

import {Secret} from './Secret.ts';

/** Why a secret could not be read; never contains the secret. */
export interface SecretFailure {
  readonly message: string;
}

/** Environment variables by name, such as `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>;

function toSecret(text: string, source: string): Result<Secret, SecretFailure> {
  const value = text.trim();
  return value === '' ? err({message: `${source} is empty or not set`}) : ok(new Secret(value));
}

function readFromFile(path: string): Result<Secret, SecretFailure> {
  try {
    return toSecret(readFileSync(path, 'utf8'), `file ${path}`);
  } catch (error) {
    const {code} = error as NodeJS.ErrnoException;
    return err({message: `file ${path} can't be read: ${code ?? 'unknown error'}`});
  }
}

/**
 * Reads a secret from an environment variable or a file; surrounding white space is trimmed.
 *
 * @example
 * const token = resolveSecret({env: 'NUTMEGPROXY_TOKEN'}, process.env);
 */
export function resolveSecret(
  reference: SecretReference,
  environment: Environment,
): Result<Secret, SecretFailure> {
  if (reference.file !== undefined) {
    return readFromFile(reference.file);
  }
  const name = reference.env ?? '';
  return toSecret(environment[name] ?? '', `environment variable ${name}`);
}
