import type {AttemptId, WorkerId} from '@nutmegproxy/core';
import type {Resources} from '@nutmegproxy/schema';

import * as fc from 'fast-check';
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {Placement} from '../../Placement.ts';

import {PLACEMENTS} from '../../Placements.ts';
import {addResources, fitsInto, NO_RESOURCES} from '../../ResourcesUtils.ts';
import {
  at,
  attemptOf,
  makeLatencyCriticalRequest,
  makeRequest,
  makeWorker,
  workerOf,
} from './PlacementFixtures.ts';

const SEED = 20_261_203;
const WORKERS = ['w1', 'w2', 'w3'];

type Step =
  | {
      readonly kind: 'decide';
      readonly cpu: number;
      readonly memoryMb: number;
      readonly isLatencyCritical: boolean;
    }
  | {readonly kind: 'end'; readonly index: number; readonly failed: boolean}
  | {
      readonly kind: 'observe';
      readonly factor: number;
      readonly index: number;
      readonly speed: number;
    }
  | {readonly kind: 'worker'; readonly drained: boolean; readonly index: number};

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    cpu: fc.integer({max: 20, min: 1}),
    isLatencyCritical: fc.boolean(),
    kind: fc.constant('decide' as const),
    memoryMb: fc.integer({max: 70_000, min: 1}),
  }),
  fc.record({failed: fc.boolean(), index: fc.nat(30), kind: fc.constant('end' as const)}),
  fc.record({
    factor: fc.double({max: 4, min: 0.1, noNaN: true}),
    index: fc.nat(30),
    kind: fc.constant('observe' as const),
    speed: fc.double({max: 1, min: 0.05, noNaN: true}),
  }),
  fc.record({drained: fc.boolean(), index: fc.nat(2), kind: fc.constant('worker' as const)}),
);

/** Applies the steps to a policy and tracks the reservations independently of it. */
class ReservationModel {
  readonly reservations = new Map<AttemptId, {reserved: Resources; worker: WorkerId}>();
  readonly #placement: Placement;
  #steps = 0;

  constructor(placement: Placement) {
    this.#placement = placement;
    for (const name of WORKERS) {
      placement.setWorker(makeWorker(name), at(0));
    }
  }

  step(step: Step): void {
    this.#steps += 1;
    const now = at(this.#steps * 500);
    const attempts = [...this.reservations.keys()];
    const attempt =
      'index' in step ? attempts[step.index % Math.max(1, attempts.length)] : undefined;
    if (step.kind === 'decide') {
      this.#decide(step.isLatencyCritical, {
        accelerators: 0,
        cpu: step.cpu,
        memoryMb: step.memoryMb,
      });
    } else if (step.kind === 'worker') {
      const name = WORKERS[step.index] ?? 'w1';
      this.#placement.setWorker({...makeWorker(name), drained: step.drained}, now);
    } else if (attempt !== undefined && step.kind === 'end') {
      this.#placement.release(attempt, step.failed ? 'failed' : 'succeeded', now);
      this.reservations.delete(attempt);
    } else if (attempt !== undefined && step.kind === 'observe') {
      const reserved = this.reservations.get(attempt)?.reserved ?? NO_RESOURCES;
      const usage = {
        at: 0,
        cpu: reserved.cpu * step.factor,
        memoryMb: reserved.memoryMb * step.factor,
        speed: step.speed,
      };
      this.#placement.observe({attempt, measuredAt: now, progress: 0, usage}, now);
    }
  }

  #decide(isLatencyCritical: boolean, declared: Resources): void {
    const make = isLatencyCritical ? makeLatencyCriticalRequest : makeRequest;
    const now = at(this.#steps * 500);
    const request = make(`attempt-${this.#steps}`, {declared, queuedAt: now});
    const decision = this.#placement.decide(request, now);
    if (decision.kind === 'placed') {
      assert.ok(fitsInto(declared, decision.reserved), 'a reservation is below the declared size');
      this.reservations.set(request.attempt, {
        reserved: decision.reserved,
        worker: decision.worker,
      });
    }
    if (decision.kind === 'evict') {
      assert.ok(decision.victims.length > 0);
      for (const victim of decision.victims) {
        assert.equal(this.reservations.get(victim)?.worker, decision.worker);
      }
    }
  }
}

describe('every placement policy', () => {
  for (const [name, make] of Object.entries(PLACEMENTS)) {
    describe(name, () => {
      it("never reserves more than a worker's capacity", () => {
        fc.assert(
          fc.property(fc.array(STEP, {maxLength: 80}), (steps) => {
            const model = new ReservationModel(make());
            for (const step of steps) {
              model.step(step);
              for (const worker of WORKERS) {
                const sum = [...model.reservations.values()]
                  .filter((each) => each.worker === workerOf(worker))
                  .map(({reserved}) => reserved)
                  .reduce(addResources, NO_RESOURCES);
                const {capacity} = makeWorker(worker);
                assert.ok(fitsInto(sum, {...capacity}), `${worker} holds ${JSON.stringify(sum)}`);
              }
            }
          }),
          {numRuns: 200, seed: SEED},
        );
      });

      it('places each task on a fleet that is empty again', () => {
        const placement = make();
        placement.setWorker(makeWorker('w1'), at(0));
        for (let index = 0; index < 50; index += 1) {
          const request = makeRequest(`a${index}`, {queuedAt: at(index)});
          assert.equal(placement.decide(request, at(index)).kind, 'placed');
          placement.release(attemptOf(`a${index}`), 'succeeded', at(index));
        }
      });
    });
  }
});
