/** Failures of reading the settings, reported with their position in the file. */

/** One fault and its position in the file. */
export interface SettingsFault {
  /** 1-based. */
  readonly column: number;
  readonly expected: string;
  /** Path of the field, such as `listen.callers`; empty if the fault concerns the whole file. */
  readonly field: string;
  /** 1-based. */
  readonly line: number;
}

/** All faults found in one file. */
export interface SettingsFailure {
  readonly faults: readonly SettingsFault[];
  readonly path: string;
}

/**
 * Formats the failure as one line per fault: `path:line:column: field: expectation`, which editors
 * turn into links.
 *
 * @example
 * process.stderr.write(describeSettingsFailure(failure));
 */
export function describeSettingsFailure(failure: SettingsFailure): string {
  return failure.faults
    .map(({column, expected, field, line}) => {
      const position = `${failure.path}:${line}:${column}`;
      return field === '' ? `${position}: ${expected}` : `${position}: ${field}: ${expected}`;
    })
    .join('\n');
}
