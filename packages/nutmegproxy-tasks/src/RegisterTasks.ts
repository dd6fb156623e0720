/** Registers the tasks feature on an entry VM's process. */

import type {EntryNode, Unregister} from '@nutmegproxy/core';
import type {PeerMesh} from '@nutmegproxy/peers';
import type {JobStatus} from '@nutmegproxy/schema';

import {DRAIN_STARTED, mergeUnregister, PRIORITY_NORMAL} from '@nutmegproxy/core';
import {
  ALLOTMENT_CHANGED,
  CELL_ACQUIRED,
  CELL_LOST,
  CELL_RELEASE_WANTED,
  TENURE_LOST,
} from '@nutmegproxy/membership';
import {validateCellSummaries, validateTaskJobQuery, validateTaskSubmit} from '@nutmegproxy/schema';

import type {CellServices} from './CellSupervisor.ts';
import type {RouteHandler} from './TaskRoutes.ts';

import {sleep} from './AsyncUtils.ts';
import {CellDirectory} from './CellDirectory.ts';
import {CellSupervisor} from './CellSupervisor.ts';
import {getMinCommitIntervalMs} from './CommitInterval.ts';
import {JobRouter, QUERY_MESSAGE, SUBMIT_MESSAGE, SUMMARIES_MESSAGE} from './JobRouter.ts';
import {JobService, toJobStatus} from './JobService.ts';
import {createTaskRoute, TASKS_PREFIX} from './TaskRoutes.ts';
import {SUMMARY_INTERVAL_MS, SUPERVISION_INTERVAL_MS} from './TasksConstants.ts';

/** Services that the feature uses. */
export interface TasksServices extends Omit<CellServices, 'commitIntervalMs'> {
  /** Minimum time between two commits of this VM, regardless of the number of VMs. */
  readonly commitIntervalMs: number;
  readonly mesh: PeerMesh;
  /** Registers a handler for all paths under a prefix of the callers' listener. */
  readonly registerRoute: (prefix: string, handler: RouteHandler) => Unregister;
}

/** The running feature. */
export interface Tasks {
  /** Returns at most `limit` jobs of the cells that this VM owns, without their tasks. */
  readonly listJobs: (limit: number) => readonly JobStatus[];
  readonly unregister: Unregister;
}

/**
 * Runs the cells that this VM owns, and serves /tasks to callers.
 *
 * @example
 * const {unregister} = registerTasks(node, services);
 */
export function registerTasks(node: EntryNode, services: TasksServices): Tasks {
  const commitIntervalMs = (): number =>
    Math.max(
      services.commitIntervalMs,
      getMinCommitIntervalMs(services.mesh.peers().length, services.directory.vms()),
    );
  const supervisor = new CellSupervisor(node, {...services, commitIntervalMs});
  const cellDirectory = new CellDirectory();
  const jobs = new JobService(node, (cell) => supervisor.cell(cell), services.keyPrefix);
  const router = new JobRouter({...services, cellDirectory, jobs, node});
  const unregister = mergeUnregister(
    () => {
      supervisor.close();
    },
    registerMessages(services.mesh, cellDirectory, jobs),
    services.registerRoute(TASKS_PREFIX, createTaskRoute(router)),
    registerDrain(node, supervisor),
    registerOwnership(node, supervisor),
    startSummaries(node, services.mesh, supervisor, cellDirectory),
  );
  void supervisor.run();
  return {listJobs: (limit) => listJobs(supervisor, limit), unregister};
}

function listJobs(supervisor: CellSupervisor, limit: number): readonly JobStatus[] {
  const jobs = supervisor.cells().flatMap(({table}) => [...table.jobs.values()]);
  return jobs.slice(0, limit).map((job) => ({...toJobStatus(job), tasks: []}));
}

function registerDrain(node: EntryNode, supervisor: CellSupervisor): Unregister {
  return node.bus.register(
    DRAIN_STARTED,
    ({wait: waitFor}) => {
      waitFor(supervisor.drain());
      return false;
    },
    PRIORITY_NORMAL,
  );
}

function registerMessages(
  mesh: PeerMesh,
  cellDirectory: CellDirectory,
  jobs: JobService,
): Unregister {
  return mergeUnregister(
    mesh.registerHandler(SUBMIT_MESSAGE, (body) =>
      validateTaskSubmit(body) ? jobs.accept(body) : undefined,
    ),
    mesh.registerHandler(QUERY_MESSAGE, (body) =>
      validateTaskJobQuery(body) ? jobs.query(body) : undefined,
    ),
    mesh.registerHandler(SUMMARIES_MESSAGE, (body, from, now) => {
      if (validateCellSummaries(body)) {
        cellDirectory.update(from, body.cells, now);
      }
      return undefined;
    }),
  );
}

/** Applies changes of ownership immediately, in addition to the supervisor's periodic check. */
function registerOwnership(node: EntryNode, supervisor: CellSupervisor): Unregister {
  const supervise = (): boolean => {
    supervisor.supervise(node.clock.monotonic());
    return false;
  };
  return mergeUnregister(
    node.bus.register(ALLOTMENT_CHANGED, supervise, PRIORITY_NORMAL),
    node.bus.register(CELL_ACQUIRED, supervise, PRIORITY_NORMAL),
    node.bus.register(CELL_LOST, supervise, PRIORITY_NORMAL),
    node.bus.register(TENURE_LOST, supervise, PRIORITY_NORMAL),
    node.bus.register(
      CELL_RELEASE_WANTED,
      (release) => {
        supervisor.release(release);
        return true;
      },
      PRIORITY_NORMAL,
    ),
  );
}

/** Sends the summaries of the owned cells to the peers and to this VM's own router. */
function startSummaries(
  node: EntryNode,
  mesh: PeerMesh,
  supervisor: CellSupervisor,
  cellDirectory: CellDirectory,
): Unregister {
  let isRunning = true;
  let sentAt = -Infinity;
  let sentCells = '';
  const loop = async (): Promise<void> => {
    while (isRunning) {
      const now = node.clock.monotonic();
      const cells = supervisor.summaries();
      const owned = cells.map(({cell, epoch}) => `${cell}:${epoch}`).join();
      cellDirectory.update(node.identity, cells, now);
      if (owned !== sentCells || now - sentAt >= SUMMARY_INTERVAL_MS) {
        sentAt = now;
        sentCells = owned;
        mesh.broadcast({body: {cells}, type: SUMMARIES_MESSAGE});
      }
      await sleep(SUPERVISION_INTERVAL_MS);
    }
  };
  void loop();
  return () => {
    isRunning = false;
  };
}
