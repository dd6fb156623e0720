/** Reads the settings file: JSON with comments, validated against schema/settings.json. */

import type {EntrySettings, Settings, Validator} from '@nutmegproxy/schema';
import type {Node, ParseError} from 'jsonc-parser';
import type {Result} from 'neverthrow';

import {validateEntrySettings, validateSettings} from '@nutmegproxy/schema';
import {getNodeValue, parseTree, printParseErrorCode} from 'jsonc-parser';
import {err, ok} from 'neverthrow';

import type {ResolvedSettings} from './ResolvedSettings.ts';
import type {SettingsFailure, SettingsFault} from './SettingsFailure.ts';

import {
  DEFAULT_KEY_PREFIX,
  DEFAULT_LOG,
  DEFAULT_POLICIES,
  DEFAULT_TIMINGS,
} from './SettingsConstants.ts';
import {findDuplicateFields, findPosition, toFault} from './SettingsUtils.ts';

function applyDefaults(settings: Settings): ResolvedSettings {
  return {
    dataCentre: settings.dataCentre,
    listen: settings.listen,
    log: {...DEFAULT_LOG, ...settings.log},
    platform: {keyPrefix: DEFAULT_KEY_PREFIX, ...settings.platform},
    policies: {...DEFAULT_POLICIES, ...settings.policies},
    region: settings.region,
    secrets: settings.secrets,
    seeds: settings.seeds ?? [],
    timings: {...DEFAULT_TIMINGS, ...settings.timings},
    vm: settings.vm,
  };
}

function checkSyntax(text: string): Result<Node, readonly SettingsFault[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, {allowTrailingComma: true});
  const faults = errors.map(({error, offset}) => ({
    ...findPosition(text, offset),
    expected: `expected JSON with comments, found ${printParseErrorCode(error)}`,
    field: '',
  }));
  if (tree === undefined || faults.length > 0) {
    const empty = {column: 1, expected: 'expected an object', field: '', line: 1};
    return err(faults.length > 0 ? faults : [empty]);
  }
  return ok(tree);
}

function checkTree<Value>(
  text: string,
  tree: Node,
  validate: Validator<Value>,
): Result<Value, readonly SettingsFault[]> {
  const duplicates = findDuplicateFields(text, tree, '');
  const value: unknown = getNodeValue(tree);
  if (!validate(value)) {
    const violations = validate.errors ?? [];
    return err([...duplicates, ...violations.map((each) => toFault(text, tree, each))]);
  }
  return duplicates.length > 0 ? err(duplicates) : ok(value);
}

/**
 * Parses and validates the text of a settings file; `path` is only used in failures.
 *
 * @example
 * const settings = readSettings(readFileSync(path, 'utf8'), path);
 */
export function readSettings(
  text: string,
  path: string,
): Result<ResolvedSettings, SettingsFailure> {
  return checkSyntax(text)
    .andThen((tree) => checkTree(text, tree, validateSettings))
    .map(applyDefaults)
    .mapErr((faults) => ({faults, path}));
}

/**
 * Parses and validates the settings of an entry VM of the scheduler; unknown fields are ignored.
 *
 * @example
 * const settings = readEntrySettings(readFileSync(path, 'utf8'), path);
 */
export function readEntrySettings(
  text: string,
  path: string,
): Result<EntrySettings, SettingsFailure> {
  return checkSyntax(text)
    .andThen((tree) => checkTree(text, tree, validateEntrySettings))
    .mapErr((faults) => ({faults, path}));
}
