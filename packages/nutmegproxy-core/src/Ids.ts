/** Branded ids: string types that the compiler treats as distinct. */

declare const BRAND: unique symbol;

/** A value of type `Value` that is not assignable without a cast. */
export type Branded<Value, Name extends string> = Value & {readonly [BRAND]: Name};

export type AttemptId = Branded<string, 'AttemptId'>;
export type CellId = Branded<string, 'CellId'>;
export type ChangeId = Branded<string, 'ChangeId'>;
export type DataCentreId = Branded<string, 'DataCentreId'>;
export type EntryId = Branded<string, 'EntryId'>;
/** One start of an entry VM's process; a restarted process has another. */
export type IncarnationId = Branded<string, 'IncarnationId'>;
export type JobId = Branded<string, 'JobId'>;
export type MinionId = Branded<string, 'MinionId'>;
export type RackId = Branded<string, 'RackId'>;
export type RegionId = Branded<string, 'RegionId'>;
export type RequestId = Branded<string, 'RequestId'>;
export type TaskId = Branded<string, 'TaskId'>;
export type TeamId = Branded<string, 'TeamId'>;
export type VmId = Branded<string, 'VmId'>;
export type WorkerId = Branded<string, 'WorkerId'>;

/**
 * Casts a string from a validated source to an id.
 *
 * @example
 * const minion = brand<MinionId>('minion-7');
 */
// The caller states the brand, since it can't be inferred from the arguments.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export function brand<Id extends Branded<string, string>>(text: string): Id {
  return text as Id;
}
