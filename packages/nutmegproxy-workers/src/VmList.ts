/** The platform's list of live and leaving VMs. It can lag, stop updating or contain errors. */

import type {VmReport} from '@nutmegproxy/schema';
import type {ResultAsync} from 'neverthrow';

export interface PlatformFailure {
  /** `refused`: the server responded that it did not act. `unknown`: it may have acted. */
  readonly kind: 'malformed' | 'refused' | 'unavailable' | 'unknown';
  readonly message: string;
}

export interface VmList {
  close(): Promise<void>;
  read(): ResultAsync<VmReport, PlatformFailure>;
}
