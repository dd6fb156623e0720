/** Parses scenarios: JSON with comments, validated against schema/scenario.json. */

import type {Scenario} from '@nutmegproxy/schema';
import type {ParseError} from 'jsonc-parser';
import type {Result} from 'neverthrow';

import {validateScenario} from '@nutmegproxy/schema';
import {parse, printParseErrorCode} from 'jsonc-parser';
import {err, ok} from 'neverthrow';

/** The errors found in a scenario, one line each. */
export interface ScenarioFailure {
  readonly faults: readonly string[];
}

/**
 * Parses the text of a scenario file.
 *
 * @example
 * const scenario = readScenario(readFileSync(path, 'utf8'));
 */
export function readScenario(text: string): Result<Scenario, ScenarioFailure> {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0) {
    const faults = errors.map(({error, offset}) => `${printParseErrorCode(error)} at ${offset}`);
    return err({faults});
  }
  if (!validateScenario(value)) {
    const violations = validateScenario.errors ?? [];
    return err({faults: violations.map((each) => `${each.instancePath} ${each.message ?? ''}`)});
  }
  return ok(value);
}

/** Returns the mean service time of a request at a minion, in ms. */
export function meanServiceMs({traffic}: Scenario): number {
  const shares = traffic.reduce((sum, {share}) => sum + share, 0);
  return traffic.reduce((sum, {serviceMs, share}) => sum + serviceMs * share, 0) / shares;
}

/** Returns the number of requests per second that the slots can serve. */
export function slotCapacity(scenario: Scenario): number {
  return (scenario.minions * scenario.slots * 1000) / meanServiceMs(scenario);
}
