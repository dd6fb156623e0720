/** Public API of the requests feature. */

export type {CallerExchange, CallerRouteHandler, ListenFailure} from './CallerListener.ts';
export {sendRefusal} from './Refusal.ts';
export type {Outcome, Refusal, RefusalCode} from './Refusal.ts';
export {registerRequests} from './registerRequests.ts';
export type {LoansRegistration, Requests, RequestsDependencies} from './registerRequests.ts';
export {HEADER_OUTCOME, HEADER_REQUEST_ID} from './RequestsConstants.ts';
export {computeShare} from './ShareUtils.ts';
export type {SlotUse} from './SlotLedger.ts';
export type {SlotLender, SlotLoans} from './SlotLoans.ts';
