/** Settings with every default filled in. */

import type {Policies, Settings, Timings} from '@nutmegproxy/schema';

export interface LogOptions {
  readonly level: 'debug' | 'error' | 'info' | 'warn';
  readonly ringSize: number;
}

/** The settings file's content with defaults applied. */
export interface ResolvedSettings extends Settings {
  readonly log: LogOptions;
  readonly platform: Required<Settings['platform']>;
  readonly policies: Required<Policies>;
  readonly seeds: string[];
  readonly timings: Required<Timings>;
}
