/** Plays of owners that follow one another so soon that some end before they have read what the one before stored. */

import fc from 'fast-check';

/** Some are drawn more often. */
const MINION_EVENTS = ['cutOff', 'drain', 'drain', 'lateStops', 'lose', 'lose', 'submit'] as const;

/** What happens to a minion. */
export type MinionFault = 'restart' | Exclude<(typeof MINION_EVENTS)[number], 'submit'>;

export interface MinionEvent {
  /** Time in milliseconds after the begin of the play. */
  readonly atMs: number;
  /** A job is submitted, or something happens to a minion. */
  readonly kind: 'submit' | MinionFault;
  /** How long it lasts, or by how much it makes calls late, in milliseconds. */
  readonly lengthMs: number;
  /** Index of the minion that it concerns. */
  readonly minion: number;
}

export interface OwnerTerm {
  /** Time in milliseconds from its acquisition to its end. */
  readonly actsForMs: number;
  readonly end: 'kill' | 'loseStore' | 'stopAsPlanned';
  /** Time in milliseconds from the release of the ownership until another VM may acquire it. */
  readonly gapMs: number;
  /** Whether its reads of the closing record fail. */
  readonly isClosingUnread: boolean;
  /** Whether the VM that follows it watches the ownership before its end; else that VM starts only then. */
  readonly isWatched: boolean;
  /** Time in milliseconds that each of its store calls takes. */
  readonly storeMs: number;
}

export interface UnreadRecordsPlay {
  readonly clockLagRate: number;
  readonly events: readonly MinionEvent[];
  readonly expiryLatenessMs: number;
  readonly hasList: boolean;
  readonly maxMinionLeaseMs: number;
  /** The owners but the last one, which goes on to the end. */
  readonly owners: readonly OwnerTerm[];
  readonly stopMs: number;
}

function drawEvent(kinds: readonly MinionEvent['kind'][]): fc.Arbitrary<MinionEvent> {
  return fc.record({
    atMs: fc.integer({max: 4_000, min: 0}),
    kind: fc.constantFrom(...kinds),
    lengthMs: fc.integer({max: 6_000, min: 50}),
    minion: fc.integer({max: 2, min: 0}),
  });
}

type DrawnTerm = Pick<OwnerTerm, 'end' | 'isClosingUnread' | 'isWatched'>;

function drawTerm(
  minMs: number,
  maxMs: number,
  drawn: fc.Arbitrary<DrawnTerm>,
): fc.Arbitrary<OwnerTerm> {
  const times = fc.record({
    actsForMs: fc.integer({max: maxMs, min: minMs}),
    gapMs: fc.integer({max: 1_500, min: 0}),
    storeMs: fc.constantFrom(2, 20, 150),
  });
  return fc.tuple(times, drawn).map(([each, other]) => ({...each, ...other}));
}

function drawPlays(
  kinds: readonly MinionEvent['kind'][],
  drawn: fc.Arbitrary<DrawnTerm>,
): fc.Arbitrary<UnreadRecordsPlay> {
  return fc.record({
    clockLagRate: fc.constantFrom(0, 0.02),
    events: fc.array(drawEvent(kinds), {maxLength: 5, minLength: 1}),
    expiryLatenessMs: fc.constantFrom(0, 250),
    hasList: fc.boolean(),
    maxMinionLeaseMs: fc.constantFrom(3_000, 6_000, 10_000),
    owners: fc
      .tuple(
        drawTerm(500, 4_000, drawn),
        fc.array(drawTerm(0, 1_500, drawn), {maxLength: 3, minLength: 1}),
      )
      .map(([first, others]) => [first, ...others]),
    stopMs: fc.constantFrom(0, 300, 900),
  });
}

/** Owners that are killed or stopped or lose the store, and minions that also restart. */
export const ANY_PLAYS = drawPlays(
  [...MINION_EVENTS, 'restart'],
  fc.record({
    end: fc.constantFrom('kill', 'loseStore', 'stopAsPlanned', 'stopAsPlanned'),
    isClosingUnread: fc.boolean(),
    isWatched: fc.boolean(),
  }),
);

/** Owners that are stopped as planned, and followed by a VM that was up before. */
export const PLANNED_PLAYS = drawPlays(
  MINION_EVENTS,
  fc.record({
    end: fc.constant('stopAsPlanned' as const),
    isClosingUnread: fc.constant(false),
    isWatched: fc.constant(true),
  }),
);
