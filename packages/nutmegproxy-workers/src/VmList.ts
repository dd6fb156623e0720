/** The platform's list of live and leaving VMs. It lags, freezes and errs. */

import type {VmReport} from '@nutmegproxy/schema';
import type {ResultAsync} from 'neverthrow';

export interface PlatformFailure {
  /** `refused`: the other side answered that it did nothing. `unknown`: it may have acted. */
  readonly kind: 'malformed' | 'refused' | 'unavailable' | 'unknown';
  readonly message: string;
}

export interface VmList {
  close(): Promise<void>;
  read(): ResultAsync<VmReport, PlatformFailure>;
}
