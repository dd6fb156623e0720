/** Routes that read, check and change the catalogue, its history, drains and stops. */

import type {
  AcceptedChange,
  CatalogueFault,
  CatalogueFeature,
  ChangeFailure,
} from '@nutmegproxy/catalogue';
import type {Unregister} from '@nutmegproxy/core';
import type {Drain} from '@nutmegproxy/schema';
import type {Result} from 'neverthrow';

import {checkCatalogue, listDifferences} from '@nutmegproxy/catalogue';
import {mergeUnregister} from '@nutmegproxy/core';
import {
  validateCatalogueApply,
  validateCatalogueCheck,
  validateDrain,
  validateStop,
} from '@nutmegproxy/schema';

import type {AdminApi} from './AdminApi.ts';
import type {AdminResponse} from './AdminResponse.ts';
import type {AdminRequest, AdminRoute} from './AdminRoute.ts';

import {registerAdminRoute} from './AdminApi.ts';
import {DEFAULT_CONFIRM_WAIT_MS, MAX_CONFIRM_WAIT_MS} from './AdminConstants.ts';
import {createErrorResponse, createJsonResponse} from './AdminResponse.ts';

type FailureResponses = {
  readonly [Kind in ChangeFailure['kind']]: (
    failure: Extract<ChangeFailure, {kind: Kind}>,
  ) => AdminResponse;
};

function createFaultsResponse(faults: readonly CatalogueFault[]): AdminResponse {
  const [first] = faults;
  const field = first?.path ?? '/';
  const message = first?.expected ?? 'the catalogue is not valid';
  return createErrorResponse({code: 'invalid', field, message}, {faults});
}

const FAILURE_RESPONSES: FailureResponses = {
  conflict: ({current}) => {
    const message = `the catalogue has changed; the current revision is ${current}`;
    return createErrorResponse({code: 'conflict', message}, {current});
  },
  invalid: ({faults}) => createFaultsResponse(faults),
  unavailable: ({message}) =>
    createErrorResponse({code: 'unavailable', message: `no change was made: ${message}`}),
  unknown: ({change, message}) =>
    createErrorResponse(
      {
        code: 'unknown',
        message: `the change may have been accepted; check the history: ${message}`,
      },
      {change},
    ),
};

function createFailureResponse(failure: ChangeFailure): AdminResponse {
  const handler = FAILURE_RESPONSES[failure.kind] as (failure: ChangeFailure) => AdminResponse;
  return handler(failure);
}

function createInvalidBodyResponse(message: string): AdminResponse {
  return createErrorResponse({code: 'invalid', message});
}

/** Returns how long to wait for the VMs' confirmation, in ms; undefined if the value is invalid. */
function parseWaitMs(query: URLSearchParams): number | undefined {
  const wait = Number(query.get('waitMs') ?? DEFAULT_CONFIRM_WAIT_MS);
  return Number.isInteger(wait) && wait >= 0 && wait <= MAX_CONFIRM_WAIT_MS ? wait : undefined;
}

async function handleChange(
  catalogue: CatalogueFeature,
  request: AdminRequest,
  change: () => Promise<Result<AcceptedChange, ChangeFailure>>,
): Promise<AdminResponse> {
  const waitMs = parseWaitMs(request.query);
  if (waitMs === undefined) {
    const message = `expected 0 to ${MAX_CONFIRM_WAIT_MS} ms`;
    return createErrorResponse({code: 'invalid', field: 'waitMs', message});
  }
  const outcome = await change();
  if (outcome.isErr()) {
    return createFailureResponse(outcome.error);
  }
  const {change: id, revision} = outcome.value;
  const confirmation = await catalogue.confirmer.confirm(revision, waitMs, request.now);
  return createJsonResponse({change: id, confirmation, revision});
}

function createReadRoutes(catalogue: CatalogueFeature): readonly AdminRoute[] {
  const {repository, source} = catalogue;
  return [
    {
      handler: () => {
        if (!source.isKnown()) {
          return createErrorResponse({
            code: 'unavailable',
            message: 'this process has not received a catalogue yet',
          });
        }
        const snapshot = source.current();
        return createJsonResponse({catalogue: snapshot.toDocument(), revision: snapshot.revision});
      },
      method: 'GET',
      path: '/v1/catalogue',
    },
    {
      handler: ({body}) => {
        if (!validateCatalogueCheck(body)) {
          return createInvalidBodyResponse('expected {"catalogue": {...}}');
        }
        const checked = checkCatalogue(body.catalogue);
        if (checked.isErr()) {
          return createFaultsResponse(checked.error);
        }
        const snapshot = source.current();
        const differences = listDifferences(snapshot.toDocument(), checked.value);
        return createJsonResponse({differences, revision: snapshot.revision});
      },
      method: 'POST',
      path: '/v1/catalogue/check',
    },
    {
      handler: async () => {
        const history = await repository.readHistory();
        return history.isOk()
          ? createJsonResponse({changes: history.value})
          : createErrorResponse({code: 'unavailable', message: history.error.message});
      },
      method: 'GET',
      path: '/v1/catalogue/history',
    },
  ];
}

function createChangeRoutes(catalogue: CatalogueFeature): readonly AdminRoute[] {
  const {changes} = catalogue;
  const matchDrain =
    ({id, target}: Readonly<Record<string, string>>) =>
    (drain: Drain): boolean =>
      drain.target === target && drain.id === id;
  return [
    {
      handler: (request) => {
        const {body, now} = request;
        if (!validateCatalogueApply(body)) {
          return createInvalidBodyResponse('expected {"expectedRevision": 1, "catalogue": {...}}');
        }
        return handleChange(catalogue, request, () =>
          changes.apply(body.catalogue, body.expectedRevision, now),
        );
      },
      method: 'POST',
      path: '/v1/catalogue',
    },
    {
      handler: (request) => {
        const {body, now} = request;
        if (!validateDrain(body)) {
          return createInvalidBodyResponse(
            'expected {"target": "worker", "id": "w1", "reason": "..."}',
          );
        }
        const isOther = (drain: Drain): boolean => !matchDrain({...body})(drain);
        return handleChange(catalogue, request, () =>
          changes.editPlans(
            ({drains, stops}) => ({drains: [...drains.filter(isOther), body], stops}),
            now,
          ),
        );
      },
      method: 'POST',
      path: '/v1/drains',
    },
    {
      handler: (request) => {
        const matches = matchDrain(request.params);
        return handleChange(catalogue, request, () =>
          changes.editPlans(
            ({drains, stops}) => ({drains: drains.filter((drain) => !matches(drain)), stops}),
            request.now,
          ),
        );
      },
      method: 'DELETE',
      path: '/v1/drains/:target/:id',
    },
    ...createStopRoutes(catalogue),
  ];
}

function createStopRoutes(catalogue: CatalogueFeature): readonly AdminRoute[] {
  const {changes} = catalogue;
  return [
    {
      handler: (request) => {
        const {body, now} = request;
        if (!validateStop(body)) {
          return createInvalidBodyResponse('expected {"vm": "entry-1", "reason": "..."}');
        }
        return handleChange(catalogue, request, () =>
          changes.editPlans(({drains, stops}) => {
            const rest = stops.filter(({vm}) => vm !== body.vm);
            return {drains, stops: [...rest, body]};
          }, now),
        );
      },
      method: 'POST',
      path: '/v1/stops',
    },
    {
      handler: (request) => {
        const {vm} = request.params;
        return handleChange(catalogue, request, () =>
          changes.editPlans(
            ({drains, stops}) => ({drains, stops: stops.filter((stop) => stop.vm !== vm)}),
            request.now,
          ),
        );
      },
      method: 'DELETE',
      path: '/v1/stops/:vm',
    },
  ];
}

/**
 * Registers the catalogue's routes.
 *
 * @example
 * const unregister = registerCatalogueRoutes(api, registerCatalogue(node, services));
 */
export function registerCatalogueRoutes(api: AdminApi, catalogue: CatalogueFeature): Unregister {
  const routes = [...createReadRoutes(catalogue), ...createChangeRoutes(catalogue)];
  return mergeUnregister(...routes.map((route) => registerAdminRoute(api, route)));
}
