/** Public surface of the requests feature. */

export type {CallerExchange, CallerRouteHandler, ListenFailure} from './CallerListener.ts';
export {sendRefusal} from './Refusal.ts';
export type {Outcome, Refusal, RefusalCode} from './Refusal.ts';
export {registerRequests} from './registerRequests.ts';
export type {LoansRegistration, Requests, RequestsServices} from './registerRequests.ts';
export {HEADER_OUTCOME, HEADER_REQUEST} from './RequestsConstants.ts';
export {splitShare} from './ShareUtils.ts';
export type {SlotUse} from './SlotLedger.ts';
export type {SlotLender, SlotLoans} from './SlotLoans.ts';
