/** Settings with every default filled in. */

import type {Policies, Settings, Timings} from '@nutmegproxy/schema';

export interface LogOptions {
  readonly level: 'debug' | 'error' | 'info' | 'warn';
  readonly ringSize: number;
}

/** What the program works with after the file was read. */
export interface ResolvedSettings extends Settings {
  readonly log: LogOptions;
  readonly platform: Required<Settings['platform']>;
  readonly policies: Required<Policies>;
  readonly seeds: string[];
  readonly timings: Required<Timings>;
}
