/** Events of the platform's VM list and workers. */

import type {EventKind} from '@nutmegproxy/core';

export const PLATFORM_EVENTS = {
  VM_LEAVING: {code: 2100, level: 'info', text: 'A VM is leaving and gets no new work.'},
  VM_LIST_FAILED: {code: 2101, level: 'warn', text: 'The list of VMs stopped answering.'},
  VM_LIST_LOWER: {code: 2103, level: 'warn', text: 'The list of VMs showed an older revision.'},
  VM_LIST_RECOVERED: {code: 2102, level: 'info', text: 'The list of VMs answers again.'},
} satisfies Record<string, EventKind>;
