import type {QueueId} from '@nutmegproxy/jobs';

import {DEFAULT_PLATFORM_BOUNDS, ManualClock, SILENT_EVENTS} from '@nutmegproxy/core';
import {FIRST_CELL, formatRecordKey} from '@nutmegproxy/jobs';
import {DurationEstimator, TailLatencyModel} from '@nutmegproxy/scheduling';
import {MemoryStore} from '@nutmegproxy/standins';
import {errAsync} from 'neverthrow';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';

import type {FleetOwnership} from '../../FleetOwnership.ts';

import {LearnedEstimates} from '../../LearnedEstimates.ts';
import {ESTIMATES_WRITE_INTERVAL_MS} from '../../OwnerConstants.ts';
import {acquireOwnership, createStep} from './OwnerSamples.ts';

const KEY = formatRecordKey('knowledge', FIRST_CELL);
const LEARNED_MS = 7_000;

describe('The learned estimates of a former owner', () => {
  let isActing: boolean;
  let isFailing: boolean;
  let ownership: FleetOwnership;
  let store: MemoryStore;

  function createEstimates(estimator: DurationEstimator): LearnedEstimates {
    const clock = new ManualClock();
    const model = new TailLatencyModel();
    return new LearnedEstimates({
      clock,
      estimator,
      events: SILENT_EVENTS,
      model,
      ownership,
      store,
    });
  }

  function learn(image: string): DurationEstimator {
    const estimator = new DurationEstimator(DEFAULT_PLATFORM_BOUNDS);
    const {shape} = createStep(1, {image});
    estimator.recordDuration('proofs' as QueueId, shape, LEARNED_MS);
    return estimator;
  }

  function findStored(): string {
    return String(store.engine.values().find(({key}) => key === KEY)?.value);
  }

  async function pass(milliseconds: number): Promise<void> {
    mock.timers.tick(milliseconds);
    for (let turn = 0; turn < 20; turn += 1) {
      await new Promise(setImmediate);
    }
  }

  /** Lets an owner act until two writes have been due. */
  async function write(estimates: LearnedEstimates): Promise<void> {
    isActing = true;
    const ran = estimates.run(() => isActing);
    await pass(ESTIMATES_WRITE_INTERVAL_MS);
    await pass(ESTIMATES_WRITE_INTERVAL_MS);
    isActing = false;
    await pass(ESTIMATES_WRITE_INTERVAL_MS);
    await ran;
  }

  beforeEach(async () => {
    isFailing = false;
    store = new MemoryStore();
    ownership = await acquireOwnership(store);
    const commit = store.commit.bind(store);
    store.commit = (transaction) =>
      isFailing ? errAsync({kind: 'unavailable', message: 'injected'}) : commit(transaction);
    mock.timers.enable({apis: ['setTimeout']});
    const former = createEstimates(learn('former'));
    await former.read();
    await write(former);
    assert.match(findStored(), /former/u);
  });

  afterEach(async () => {
    mock.timers.reset();
    await store.close();
  });

  it('are kept beside those of an owner that could not read them at first', async () => {
    const estimator = learn('present');
    const estimates = createEstimates(estimator);
    isFailing = true;
    await estimates.read();
    isFailing = false;
    await write(estimates);
    assert.match(findStored(), /former/u);
    assert.match(findStored(), /present/u);
    assert.match(JSON.stringify(estimator.export()), /former/u);
  });
});
