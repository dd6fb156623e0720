/** The sizes of a measurement, their defaults and the experiments that vary them. */

/** Sizes of one measurement; rates are per second unless the name says otherwise. */
export interface CapacitySize {
  readonly catalogueChangesPerMinute: number;
  readonly catalogueEntries: number;
  /** Entry VMs of the measured data centre. */
  readonly entries: number;
  readonly listChanges: number;
  /** Workers of other data centres in the VM list; they receive no calls. */
  readonly listedElsewhere: number;
  /** Entry VMs of other data centres in the VM list; they receive no calls. */
  readonly listedEntries: number;
  readonly minions: number;
  readonly otherDataCentres: number;
  readonly runningTasks: number;
  readonly starts: number;
  readonly workers: number;
}

export const SMALLEST_SIZE: CapacitySize = {
  catalogueChangesPerMinute: 0,
  catalogueEntries: 1,
  entries: 1,
  listChanges: 0,
  listedElsewhere: 0,
  listedEntries: 0,
  minions: 0,
  otherDataCentres: 0,
  runningTasks: 0,
  starts: 0,
  workers: 0,
};

/** An experiment: varies one size while the others stay fixed. */
export interface CapacityExperiment {
  readonly base: Partial<CapacitySize>;
  readonly factor: keyof CapacitySize;
  readonly values: readonly number[];
}

/** The measurements by name. */
export const EXPERIMENTS: Readonly<Record<string, CapacityExperiment>> = {
  'catalogue-changes': {
    base: {catalogueEntries: 9_000, entries: 2},
    factor: 'catalogueChangesPerMinute',
    values: [0, 6, 30],
  },
  'catalogue-entries': {base: {}, factor: 'catalogueEntries', values: [100, 1_000, 9_000]},
  cells: {base: {entries: 4}, factor: 'workers', values: [10, 100, 300]},
  'data-centres': {base: {entries: 2}, factor: 'otherDataCentres', values: [0, 1, 3, 5]},
  entries: {base: {}, factor: 'entries', values: [1, 2, 4, 8]},
  'list-changes': {base: {listedElsewhere: 6_200}, factor: 'listChanges', values: [0, 1, 4]},
  'listed-entries': {
    base: {starts: 100, workers: 100},
    factor: 'listedEntries',
    values: [1, 27, 81],
  },
  'listed-vms': {base: {}, factor: 'listedElsewhere', values: [0, 2_000, 6_200]},
  minions: {base: {entries: 2}, factor: 'minions', values: [10, 100, 700]},
  'running-tasks': {base: {workers: 500}, factor: 'runningTasks', values: [100, 1_000, 5_000]},
  starts: {base: {workers: 100}, factor: 'starts', values: [1, 20, 100]},
  workers: {base: {}, factor: 'workers', values: [10, 100, 500]},
};
