/** Helpers for reading JSON with comments: text positions and messages for schema violations. */

import type {Violation} from '@nutmegproxy/schema';
import type {JSONPath, Node} from 'jsonc-parser';

import {findNodeAtLocation} from 'jsonc-parser';

import type {SettingsFault} from './SettingsFailure.ts';

type Expectation = (params: Violation['params']) => string;

const EXPECTATIONS: Readonly<Record<string, Expectation>> = {
  additionalProperties: () => 'unknown field',
  enum: ({allowedValues}) => `expected one of ${(allowedValues as unknown[]).join(', ')}`,
  exclusiveMinimum: ({limit}) => `expected more than ${String(limit)}`,
  maximum: ({limit}) => `expected at most ${String(limit)}`,
  maxItems: ({limit}) => `expected at most ${String(limit)} items`,
  maxProperties: ({limit}) => `expected at most ${String(limit)} fields`,
  minimum: ({limit}) => `expected at least ${String(limit)}`,
  minItems: ({limit}) => `expected at least ${String(limit)} items`,
  minLength: () => 'expected a non-empty string',
  minProperties: ({limit}) => `expected at least ${String(limit)} field`,
  pattern: ({pattern}) => `expected a string that matches ${String(pattern)}`,
  required: () => 'missing required field',
  type: ({type}) => `expected a value of type ${String(type)}`,
};

/**
 * Returns the 1-based line and column of an offset.
 *
 * @example
 * findPosition('{\n "vm": 1}', 3); // {column: 2, line: 2}
 */
export function findPosition(text: string, offset: number): Pick<SettingsFault, 'column' | 'line'> {
  const lines = text.slice(0, offset).split('\n');
  return {column: (lines.at(-1)?.length ?? 0) + 1, line: lines.length};
}

function decodePointer(pointer: string, tree: Node): JSONPath {
  const names = pointer
    .split('/')
    .slice(1)
    .map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'));
  const path: JSONPath = [];
  for (const name of names) {
    const parent = findNodeAtLocation(tree, path);
    path.push(parent?.type === 'array' ? Number(name) : name);
  }
  return path;
}

function findNearest(tree: Node, path: JSONPath): Node {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node !== undefined) {
      return node.parent?.type === 'property' ? node.parent : node;
    }
  }
  return tree;
}

/**
 * Converts a schema violation to a fault with its message and position.
 *
 * @example
 * const faults = (validateSettings.errors ?? []).map((each) => toFault(text, tree, each));
 */
export function toFault(text: string, tree: Node, violation: Violation): SettingsFault {
  const {additionalProperty, missingProperty} = violation.params;
  const path = decodePointer(violation.instancePath, tree);
  const name = additionalProperty ?? missingProperty;
  if (typeof name === 'string') {
    path.push(name);
  }
  const expectation = EXPECTATIONS[violation.keyword];
  const expected = expectation?.(violation.params) ?? violation.message ?? violation.keyword;
  const node = findNearest(tree, path);
  return {...findPosition(text, node.offset), expected, field: path.join('.')};
}

/** Finds duplicate fields of an object; a JSON parser would silently use the last one. */
export function findDuplicateFields(text: string, node: Node, path: string): SettingsFault[] {
  const seen = new Set<string>();
  return (node.children ?? []).flatMap((child, index) => {
    const key = child.type === 'property' ? child.children?.[0] : undefined;
    const name = key === undefined ? String(index) : String(key.value);
    const field = path === '' ? name : `${path}.${name}`;
    const value = key === undefined ? child : child.children?.[1];
    const inner = value === undefined ? [] : findDuplicateFields(text, value, field);
    if (key === undefined || !seen.has(name)) {
      seen.add(name);
      return inner;
    }
    const fault = {...findPosition(text, key.offset), expected: 'duplicate field', field};
    return [fault, ...inner];
  });
}
