/** Plots latency over time and the latency distribution as one SVG image. */

import type {WorkClass} from '@nutmegproxy/schema';
import type {ScaleContinuousNumeric} from 'd3-scale';

import {scaleLinear, scaleLog} from 'd3-scale';
import {line} from 'd3-shape';

import type {ReportRow} from './RequestReport.ts';
import type {RunFigures} from './RequestRun.ts';

import {PLOT_PERCENTILES} from './LoadFigures.ts';
import {listRows} from './RequestReport.ts';

type Point = readonly [x: number, y: number];
type Scale = ScaleContinuousNumeric<number, number>;

interface Series {
  readonly colour: string;
  readonly points: readonly Point[];
}

interface Panel {
  readonly series: readonly Series[];
  readonly title: string;
  readonly x: Scale;
  readonly xLabels: readonly (readonly [at: number, label: string])[];
}

const COLOURS = ['#1b6ca8', '#c8501e', '#3a7d44', '#7b4b94'];
const HEIGHT = 320;
const LOWEST_MS = 1;
const MARGIN = 50;
const WIDTH = 700;

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function drawText(x: number, y: number, text: string, colour = '#333'): string {
  return `<text x="${x}" y="${y}" fill="${colour}" font-size="12">${escapeText(text)}</text>`;
}

function drawPanel({series, title, x, xLabels}: Panel, y: Scale, top: number): string {
  const path = line<Point>(
    ([atX]) => x(atX),
    ([, atY]) => y(Math.max(LOWEST_MS, atY)),
  );
  const paths = series.map(
    ({colour, points}) =>
      `<path d="${path([...points]) ?? ''}" fill="none" stroke="${colour}" stroke-opacity="0.7"/>`,
  );
  const yTicks = [1, 10, 100, 1000, 10_000, 100_000]
    .filter((tick) => tick <= (y.domain()[1] ?? 0))
    .map(
      (tick) =>
        `<line x1="${MARGIN}" x2="${WIDTH}" y1="${y(tick)}" y2="${y(tick)}" stroke="#ddd"/>` +
        drawText(2, y(tick) + 4, `${tick} ms`),
    );
  const xTicks = xLabels.map(([at, label]) => drawText(x(at), HEIGHT - MARGIN + 18, label));
  const content = [drawText(MARGIN, 18, title), ...yTicks, ...xTicks, ...paths].join('\n');
  return `<g transform="translate(0 ${top})">\n${content}\n</g>`;
}

/** Maps a percentile to a logarithmic axis on which each further nine takes the same width. */
function toNines(percentile: number): number {
  return -Math.log10(1 - Math.min(percentile, 99.999) / 100);
}

function createPanels(
  name: WorkClass,
  rows: readonly ReportRow[],
  colours: ReadonlyMap<string, string>,
): readonly Panel[] {
  const endMs = Math.max(1, ...rows.flatMap(({timeline}) => timeline.map(({atMs}) => atMs)));
  const draw = (read: (row: ReportRow) => readonly Point[]): readonly Series[] =>
    rows.map((row) => ({colour: colours.get(row.arm) ?? '#000', points: read(row)}));
  const range = [MARGIN, WIDTH - 30];
  return [
    {
      series: draw(({timeline}) => timeline.map(({atMs, p99Ms}) => [atMs, p99Ms])),
      title: `${name}: p99 over time, one line per seed`,
      x: scaleLinear([0, endMs], range),
      xLabels: [0, 0.5, 1].map((part) => [part * endMs, `${(part * endMs) / 1000} s`]),
    },
    {
      series: draw(({percentiles}) =>
        percentiles.map((ms, index) => [toNines(PLOT_PERCENTILES[index] ?? 0), ms]),
      ),
      title: `${name}: latency by percentile, one line per seed`,
      x: scaleLinear([0, toNines(100)], range),
      xLabels: [50, 90, 99, 99.9, 99.99].map((each) => [toNines(each), `p${each}`]),
    },
  ];
}

/**
 * Returns an SVG image of the given runs, with one color per policy.
 *
 * @example
 * writeFileSync('overload.svg', drawRuns('overload', runs));
 */
export function drawRuns(title: string, runs: readonly RunFigures[]): string {
  const rows = listRows(runs);
  const arms = [...new Set(rows.map(({arm}) => arm))];
  const colours = new Map(arms.map((arm, index) => [arm, COLOURS[index % COLOURS.length] ?? '']));
  const highest = Math.max(10, ...rows.flatMap(({percentiles}) => percentiles));
  const y = scaleLog([LOWEST_MS, highest], [HEIGHT - MARGIN, 30]);
  const classes = [...new Set(rows.map((row) => row.class))].sort();
  const panels = classes.flatMap((name) =>
    createPanels(
      name,
      rows.filter((row) => row.class === name),
      colours,
    ),
  );
  const legend = [...colours].map(([arm, colour], index) =>
    drawText(MARGIN + 200 * index, 40, arm, colour),
  );
  const drawn = panels.map((panel, index) => drawPanel(panel, y, 50 + index * HEIGHT));
  const size = `width="${WIDTH}" height="${50 + panels.length * HEIGHT}"`;
  const head = `<svg xmlns="http://www.w3.org/2000/svg" ${size} font-family="sans-serif">`;
  return [head, drawText(MARGIN, 20, title), ...legend, ...drawn, '</svg>\n'].join('\n');
}
