/** Encodes and decodes the messages of the etcd JSON gateway. */

import type {LeaseId, OperationResponse, TransactionResponse, WatchEvent} from '@nutmegproxy/store';
import type {EtcdCompare, EtcdOperation, EtcdTransaction} from '@nutmegproxy/store';

import {brand} from '@nutmegproxy/core';
import {decodeText, encodeText} from '@nutmegproxy/store';

import type {
  EngineComparison,
  EngineOperation,
  EngineTransaction,
  EngineValue,
} from './StoreEngine.ts';

const COMPARE_DECODERS: Record<string, (compare: EtcdCompare, key: string) => EngineComparison> = {
  CREATE: ({createRevision}, key) => ({
    createRevision: Number(createRevision ?? 0),
    key,
    kind: 'createRevision',
  }),
  MOD: ({modRevision}, key) => ({key, kind: 'modRevision', modRevision: Number(modRevision ?? 0)}),
  VALUE: ({value}, key) => ({key, kind: 'value', value: Buffer.from(value ?? '', 'base64')}),
  VERSION: ({version}, key) => ({key, kind: 'version', version: Number(version ?? 0)}),
};

function decodeCompare(compare: EtcdCompare): EngineComparison {
  const decode = COMPARE_DECODERS[compare.target ?? 'VERSION'];
  if (decode === undefined || (compare.result ?? 'EQUAL') !== 'EQUAL') {
    throw new Error('unsupported comparison');
  }
  return decode(compare, decodeText(compare.key));
}

function decodeOperation(operation: EtcdOperation): EngineOperation {
  const {requestDeleteRange, requestPut, requestRange, requestTxn} = operation;
  if (requestPut !== undefined) {
    const lease = brand<LeaseId>(requestPut.lease ?? '0');
    const value = Buffer.from(requestPut.value, 'base64');
    return {key: decodeText(requestPut.key), kind: 'put', lease, value};
  }
  if (requestRange !== undefined) {
    const prefix = requestRange.rangeEnd !== undefined;
    const limit = Number(requestRange.limit ?? 0);
    return {key: decodeText(requestRange.key), kind: 'get', limit, prefix};
  }
  if (requestDeleteRange !== undefined) {
    const prefix = requestDeleteRange.rangeEnd !== undefined;
    return {key: decodeText(requestDeleteRange.key), kind: 'delete', prefix};
  }
  if (requestTxn !== undefined) {
    return {kind: 'transaction', transaction: decodeTransaction(requestTxn)};
  }
  throw new Error('unsupported operation');
}

export function decodeTransaction(transaction: EtcdTransaction): EngineTransaction {
  return {
    compare: (transaction.compare ?? []).map(decodeCompare),
    otherwise: (transaction.failure ?? []).map(decodeOperation),
    then: (transaction.success ?? []).map(decodeOperation),
  };
}

function encodeValue(value: EngineValue) {
  return {
    create_revision: String(value.createRevision),
    key: encodeText(value.key),
    lease: value.lease ?? '0',
    mod_revision: String(value.modRevision),
    value: value.value.toString('base64'),
    version: String(value.version),
  };
}

function encodeOperationResponse(response: OperationResponse): object {
  if (response.kind === 'get') {
    const kvs = (response.values as readonly EngineValue[]).map(encodeValue);
    return {response_range: {count: String(kvs.length), kvs}};
  }
  if (response.kind === 'delete') {
    return {response_delete_range: {deleted: String(response.deleted)}};
  }
  return response.kind === 'put'
    ? {response_put: {}}
    : {response_txn: encodeTransactionResponse(response.response)};
}

export function encodeHeader(revision: number) {
  return {cluster_id: '1', member_id: '1', raft_term: '1', revision: String(revision)};
}

/** Encodes a response; fields with default values are omitted, as in the gateway. */
export function encodeTransactionResponse(response: TransactionResponse): object {
  return {
    header: encodeHeader(response.revision),
    responses: response.responses.map(encodeOperationResponse),
    ...(response.succeeded ? {succeeded: true} : {}),
  };
}

export function encodeWatchEvent(event: WatchEvent): object {
  if (event.kind === 'put') {
    return {kv: encodeValue(event.stored as EngineValue)};
  }
  return {
    kv: {key: encodeText(event.key), mod_revision: String(event.modRevision)},
    type: 'DELETE',
  };
}
