/**
 * The seeded state that an owner finds when it takes up a fleet: minions that run the tasks of long-running jobs,
 * jobs that are over and still stored for queries, and jobs with waiting tasks.
 */

import type {DataCentreId, JobId, MinionId, RackId, WallTime} from '@nutmegproxy/core';
import type {
  JobProgress,
  QueueId,
  RunNumber,
  ServiceId,
  StepProgress,
  StepShape,
  StoredJob,
} from '@nutmegproxy/jobs';
import type {MinionDescription, QueuePolicy} from '@nutmegproxy/scheduling';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import {brand} from '@nutmegproxy/core';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {createShape} from './StepShapes.ts';

/** Size of a benchmark case. */
export interface TakeoverSize {
  readonly jobs: number;
  readonly minions: number;
}

/** A job in the store; jobs without progress have not started. */
export interface StoredWork {
  readonly job: StoredJob;
  readonly progress: JobProgress | undefined;
}

/** A live run that a former owner has started. */
export interface FormerRun {
  readonly minion: MinionId;
  readonly number: RunNumber;
  readonly task: string;
}

export interface TakeoverLoad {
  readonly minions: readonly MinionDescription[];
  readonly queues: readonly QueuePolicy[];
  readonly runs: readonly FormerRun[];
  readonly work: readonly StoredWork[];
}

const SERVICES = ['mesa', 'oportuna', 'albarrada'].map((id) => brand<ServiceId>(id));
const MINIONS_PER_RACK = 12;
const MINION_CAPACITY = {cpuMilli: 16_000, gpus: 0, memoryMb: 64_000};
/** Long-running tasks of a minion; they reserve about three fifths of it. */
const LASTING_RUNS_PER_MINION = 5;
const LASTING_CPU_MILLI = 2_000;
const LASTING_TASKS_PER_JOB = 40;
const WAITING_TASKS_PER_MINION = 16;
/** Share of the other jobs that are over, in percent. */
const FINAL_PERCENT = 80;
const IMAGES = 30;
const PAYLOAD = 'p'.repeat(400);
const ACCEPTED_WITHIN_MS = 20_000;

/** Queues of one service, by the kind of their work. */
function createQueues(service: ServiceId): readonly QueuePolicy[] {
  return ['lasting', 'urgent', 'filling'].map((kind, priority) => ({
    advice: undefined,
    id: brand<QueueId>(`${service}-${kind}`),
    maxAttempts: 3,
    priority: priority === 0 ? 1 : priority - 1,
    service,
    stretch: 2,
    targetDurationMs: 1_000,
  }));
}

function createDoneProgress({count}: StepShape): StepProgress {
  return {checkpoints: {}, done: Array.from({length: count}, (_, index) => index), failures: {}};
}

class LoadGenerator {
  readonly #random: RandomGenerator;
  readonly #runs: FormerRun[] = [];
  readonly #size: TakeoverSize;
  readonly #wall: WallTime;
  readonly #work: StoredWork[] = [];

  constructor(size: TakeoverSize, seed: number, wall: WallTime) {
    this.#random = xoroshiro128plus(seed);
    this.#size = size;
    this.#wall = wall;
  }

  generate(): TakeoverLoad {
    const minions = this.#createMinions();
    this.#addLastingJobs(minions);
    this.#addOtherJobs(minions.length);
    return {minions, queues: SERVICES.flatMap(createQueues), runs: this.#runs, work: this.#work};
  }

  #createMinions(): MinionDescription[] {
    return Array.from({length: this.#size.minions}, (_, index) => ({
      address: `10.0.${index >> 8}.${index & 255}:8100`,
      bornAt: this.#wall - 600_000,
      capacity: MINION_CAPACITY,
      dataCentre: brand<DataCentreId>('dc'),
      id: brand<MinionId>(`i-${index.toString(16).padStart(10, '0')}`),
      isDraining: false,
      labels: ['a', index % 4 === 0 ? 'large' : 'usual'],
      leavesInMs: undefined,
      machine: undefined,
      rack: brand<RackId>(`rack-${Math.floor(index / MINIONS_PER_RACK)}`),
      service: SERVICES[index % SERVICES.length] ?? brand<ServiceId>(''),
    }));
  }

  #addLastingJobs(minions: readonly MinionDescription[]): void {
    for (const service of SERVICES) {
      const runners = minions
        .filter((minion) => minion.service === service)
        .flatMap((minion) => Array.from({length: LASTING_RUNS_PER_MINION}, () => minion));
      for (let from = 0; from < runners.length; from += LASTING_TASKS_PER_JOB) {
        const members = runners.slice(from, from + LASTING_TASKS_PER_JOB);
        const shape = createShape({
          count: members.length,
          image: this.#drawImage(),
          longRunning: true,
          resources: {cpuMilli: LASTING_CPU_MILLI, gpus: 0, memoryMb: 4_000},
          tailTargetMs: 80,
        });
        const {job} = this.#addJob(service, 'lasting', [shape], 'running');
        for (const [index, {id}] of members.entries()) {
          this.#runs.push({minion: id, number: 1 as RunNumber, task: `${job.id}.0.0.${index}`});
        }
      }
    }
  }

  #addOtherJobs(minions: number): void {
    const others = Math.max(1, this.#size.jobs - this.#work.length);
    const open = Math.ceil((others * (100 - FINAL_PERCENT)) / 100);
    const tasksPerOpenJob = Math.max(1, Math.round((minions * WAITING_TASKS_PER_MINION) / open));
    for (let index = 0; index < others; index += 1) {
      const isOpen = index % Math.max(1, Math.floor(others / open)) === 0;
      const service = SERVICES[this.#draw(0, SERVICES.length - 1)] ?? brand<ServiceId>('');
      const isFilling = this.#draw(0, 99) < 60;
      const count = isOpen ? tasksPerOpenJob : this.#draw(4, 50);
      const steps = this.#createSteps(count, isFilling);
      this.#addJob(
        service,
        isFilling ? 'filling' : 'urgent',
        steps,
        isOpen ? undefined : 'completed',
      );
    }
  }

  #createSteps(count: number, fillsSpareCpu: boolean): StepShape[] {
    const first = Math.max(1, Math.ceil((count * 3) / 4));
    const common = {
      checkpoints: fillsSpareCpu,
      fillsSpareCpu,
      image: this.#drawImage(),
      requiredLabel: this.#draw(0, 9) === 0 ? 'large' : undefined,
      resources: {
        cpuMilli: 250 * this.#draw(2, fillsSpareCpu ? 6 : 10),
        gpus: 0,
        memoryMb: 250 * this.#draw(1, 8),
      },
    };
    return [
      createShape({...common, count: first}),
      createShape({...common, after: [0], count: Math.max(1, count - first)}),
    ];
  }

  #addJob(
    service: ServiceId,
    kind: string,
    steps: readonly StepShape[],
    status: JobProgress['status'] | undefined,
  ): StoredWork {
    const queue = brand<QueueId>(`${service}-${kind}`);
    const job: StoredJob = {
      acceptedAt: (this.#wall - this.#draw(0, ACCEPTED_WITHIN_MS)) as WallTime,
      id: brand<JobId>((this.#work.length + 1).toString(16).padStart(16, '0')),
      payload: PAYLOAD,
      queue,
      recurrence: undefined,
      service,
      steps,
    };
    const done = status === 'completed' ? steps.map(createDoneProgress) : [];
    const stored = Object.fromEntries(done.map((each, step) => [`0.${step}`, each]));
    const progress = status === undefined ? undefined : {queue, status, steps: stored};
    const work = {job, progress};
    this.#work.push(work);
    return work;
  }

  #draw(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  #drawImage(): string {
    return `image-${this.#draw(1, IMAGES)}`;
  }
}

/**
 * Draws the state of a fleet; the same size and seed give the same state.
 *
 * @example
 * const {minions, work} = drawTakeoverLoad({jobs: 1_200, minions: 246}, 1, wall);
 */
export function drawTakeoverLoad(size: TakeoverSize, seed: number, wall: WallTime): TakeoverLoad {
  return new LoadGenerator(size, seed, wall).generate();
}
