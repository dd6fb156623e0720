/** Events of the platform's VM list and workers. */

import type {EventKind} from '@nutmegproxy/core';

export const PLATFORM_EVENTS = {
  VM_LEAVING: {code: 2100, level: 'info', text: 'A VM is leaving and receives no new work.'},
  VM_LIST_FAILED: {code: 2101, level: 'warn', text: 'Reading the VM list failed.'},
  VM_LIST_LOWER: {code: 2103, level: 'warn', text: 'The VM list returned an older revision.'},
  VM_LIST_RECOVERED: {code: 2102, level: 'info', text: 'Reading the VM list succeeded again.'},
} satisfies Record<string, EventKind>;
