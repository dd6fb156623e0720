/** Settings with every default filled in. */

import type {Policies, Settings, Timings} from '@nutmegproxy/schema';

export interface LogOptions {
  readonly level: 'debug' | 'error' | 'info' | 'warn';
  readonly ringSize: number;
}

export interface PlatformOptions {
  readonly keyPrefix: string;
  readonly store: readonly string[];
  readonly vmList: string;
}

/** What the program works with after the file was read. */
export interface ResolvedSettings {
  readonly dataCentre: string;
  readonly listen: Settings['listen'];
  readonly log: LogOptions;
  readonly platform: PlatformOptions;
  readonly policies: Policies;
  readonly region: string;
  readonly secrets: Settings['secrets'];
  readonly seeds: readonly string[];
  readonly timings: Required<Timings>;
  readonly vm: string;
}
