/** Failures of reading the settings, as the person who wrote the file needs them. */

/** One fault, with its place in the file. */
export interface SettingsFault {
  /** 1-based. */
  readonly column: number;
  readonly expected: string;
  /** Path of the field, such as `listen.callers`; empty for the whole file. */
  readonly field: string;
  /** 1-based. */
  readonly line: number;
}

/** All faults that were found in one file. */
export interface SettingsFailure {
  readonly faults: readonly SettingsFault[];
  readonly path: string;
}

/**
 * One line for each fault, in the form that editors can jump to.
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
