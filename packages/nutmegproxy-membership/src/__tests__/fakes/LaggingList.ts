/** The platform's list of entry VMs, whose readers may see an earlier state. */

import type {VmReport} from '@nutmegproxy/schema';

const EMPTY: VmReport = {revision: 0, vms: []};

export class LaggingList {
  /** Number of latest changes that readers may not see yet. */
  lag = 0;
  /** VMs that the list never contains. */
  unlisted: ReadonlySet<string> = new Set();
  readonly #states: VmReport[] = [EMPTY];

  add(vm: string): void {
    const {vms} = this.#latest();
    if (!this.unlisted.has(vm) && !vms.some(({id}) => id === vm)) {
      const address = `${vm}:1`;
      this.#push([...vms, {address, dataCentre: 'dc', id: vm, role: 'entry', state: 'live'}]);
    }
  }

  /** Returns a state that is not older than the last one that the reader saw. */
  read(seenRevision: number): VmReport {
    const revision = Math.max(seenRevision, this.#states.length - 1 - this.lag);
    return this.#states[revision] ?? EMPTY;
  }

  remove(vm: string): void {
    this.#push(this.#latest().vms.filter(({id}) => id !== vm));
  }

  #latest(): VmReport {
    return this.#states.at(-1) ?? EMPTY;
  }

  #push(vms: VmReport['vms']): void {
    this.#states.push({revision: this.#states.length, vms});
  }
}
