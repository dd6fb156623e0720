/** Plays of events on minions that accept leases of a drawn length. */

import fc from 'fast-check';

export const EVENT_KINDS = [
  'cutOff',
  'drain',
  'kill',
  'lateStarts',
  'lateStops',
  'lose',
  'loseListings',
  'restart',
  'stopAsPlanned',
  'submit',
] as const;

export interface PlayedEvent {
  /** Time in milliseconds after the event before. */
  readonly afterMs: number;
  readonly kind: (typeof EVENT_KINDS)[number];
  /** How long it lasts, or by how much it makes calls late, in milliseconds. */
  readonly lengthMs: number;
  /**
   * The minion that it concerns: one that runs a task then, the last one whose starts were late, or the one
   * with this index.
   */
  readonly minion: 'host' | 'target' | number;
}

export interface LeaseBoundsPlay {
  readonly clockLagRate: number;
  readonly events: readonly PlayedEvent[];
  readonly expiryLatenessMs: number;
  readonly hasList: boolean;
  readonly maxMinionLeaseMs: number;
  /** Whether late starts and stops are carried out by later incarnations, too. */
  readonly reachesLaterIncarnations: boolean;
  readonly stopMs: number;
}

const event = fc.record({
  afterMs: fc.integer({max: 3_000, min: 50}),
  kind: fc.constantFrom(...EVENT_KINDS),
  lengthMs: fc.integer({max: 6_000, min: 50}),
  minion: fc.oneof(fc.constant('host' as const), fc.integer({max: 2, min: 0})),
});

/** What happens to a minion that has not responded to a start, and to the owner that sent it. */
const eventOfTarget = fc.record({
  afterMs: fc.integer({max: 1_000, min: 50}),
  kind: fc.constantFrom(
    'cutOff',
    'kill',
    'lose',
    'loseListings',
    'restart',
    'stopAsPlanned',
    'submit',
  ),
  // Long enough for a minion to be cut off until all leases have ended.
  lengthMs: fc.integer({max: 30_000, min: 50}),
  minion: fc.constantFrom('host', 'target', 'target'),
});

/** Events around a start that is late. */
const lateStart = fc
  .tuple(fc.integer({max: 6_000, min: 50}), fc.array(eventOfTarget, {maxLength: 5, minLength: 2}))
  .map(([lengthMs, after]): PlayedEvent[] => [
    {afterMs: 50, kind: 'lateStarts', lengthMs, minion: 'target'},
    {afterMs: 50, kind: 'submit', lengthMs: 0, minion: 'target'},
    ...after,
  ]);

/** Draws an event of one kind. */
function draw(
  kind: PlayedEvent['kind'],
  maxGapMs: number,
  length: fc.Arbitrary<number>,
  minGapMs = 50,
): fc.Arbitrary<PlayedEvent> {
  return fc.record({
    afterMs: fc.integer({max: maxGapMs, min: minGapMs}),
    kind: fc.constant(kind),
    lengthMs: length,
    minion: fc.constant('target' as const),
  });
}

/**
 * A start without a response reaches an incarnation that its owner has not seen, and that owner ends. It arrives
 * before that, and no stop of it is confirmed: for others see KNOWN-RED.txt, late-start-in-a-later-incarnation.
 */
const laterIncarnation = fc
  .tuple(
    draw('lateStarts', 50, fc.integer({max: 700, min: 300})),
    draw('submit', 50, fc.constant(0)),
    draw('cutOff', 150, fc.constant(30_000)),
    draw('restart', 150, fc.integer({max: 100, min: 50})),
    fc.oneof(
      draw('kill', 3_000, fc.integer({max: 2_000, min: 0}), 900),
      draw('stopAsPlanned', 3_000, fc.integer({max: 2_000, min: 0}), 900),
    ),
  )
  .map((events): PlayedEvent[] => events);

const bounds = {
  clockLagRate: fc.constantFrom(0, 0.02),
  expiryLatenessMs: fc.constantFrom(0, 250),
  hasList: fc.boolean(),
  maxMinionLeaseMs: fc.oneof(
    fc.constantFrom(3_000, 6_000, 20_000),
    fc.integer({max: 20_000, min: 3_000}),
  ),
  stopMs: fc.integer({max: 900, min: 0}),
};

/**
 * Draws plays; `reachesLater` tells whether late calls reach later incarnations in all of them.
 *
 * @example
 * fc.sample(drawPlays(false), {numRuns: 12, seed: 59});
 */
export function drawPlays(reachesLater: boolean): fc.Arbitrary<LeaseBoundsPlay> {
  return fc.oneof(
    {
      arbitrary: fc.record({
        ...bounds,
        events: fc.oneof(fc.array(event, {maxLength: 6, minLength: 2}), lateStart),
        reachesLaterIncarnations: fc.constant(reachesLater),
      }),
      weight: 3,
    },
    {
      arbitrary: fc.record({
        ...bounds,
        events: laterIncarnation,
        reachesLaterIncarnations: fc.constant(true),
      }),
      weight: 1,
    },
  );
}

/** Plays that failed, with their causes. */
export const KEPT_PLAYS: readonly {readonly cause: string; readonly play: LeaseBoundsPlay}[] = [
  {
    // Play 1 of seed 59; it failed in one of five runs, as the start has to be sent right after the restart.
    cause: 'the third owner counted less for a lease than the second one that had inherited it',
    play: {
      clockLagRate: 0,
      events: [
        {afterMs: 50, kind: 'lateStarts', lengthMs: 2_993, minion: 'target'},
        {afterMs: 50, kind: 'submit', lengthMs: 0, minion: 'target'},
        {afterMs: 338, kind: 'restart', lengthMs: 9_595, minion: 'host'},
        {afterMs: 945, kind: 'restart', lengthMs: 25_198, minion: 'host'},
        {afterMs: 126, kind: 'kill', lengthMs: 6_564, minion: 'host'},
        {afterMs: 876, kind: 'loseListings', lengthMs: 11_980, minion: 'host'},
        {afterMs: 745, kind: 'stopAsPlanned', lengthMs: 9_366, minion: 'target'},
      ],
      expiryLatenessMs: 0,
      hasList: true,
      maxMinionLeaseMs: 19_358,
      reachesLaterIncarnations: false,
      stopMs: 626,
    },
  },
];
