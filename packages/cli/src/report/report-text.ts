/** Renders the report of a run as text tables. */
import { table } from '../show/table.js'
import type { AdapterReport, Count } from './adapter-tally.js'
import type { LoadReport } from './load-tally.js'
import type { EndingCounts, RunReport } from './run-report.js'
import type { DurationSummary } from './duration-histogram.js'

/** Maximum rows of the tables that list the worst entries first. */
const MAXIMUM_ROWS = 12

/** @returns the report as text, with one table for each of its lists */
export function reportText (report: RunReport): string {
  return [
    `${report.lines} lines of ${report.seconds} s`,
    table(['ROUTE', ...ENDING_HEADERS, 'FIRST EVENT', 'LOAD STALL', 'LONGEST GAP', 'WHOLE'], report.routes.map((route) => [
      route.route, ...endingCells(route.endings), summaryText(route.firstEvent), summaryText(route.loadStall), summaryText(route.longestGap), summaryText(route.whole)
    ])),
    table(['LOST', 'REASON', 'COUNT', 'AFTER'], report.losses.slice(0, MAXIMUM_ROWS).map(({ ending, reason, after }) => [ending, reason, String(after.count), summaryText(after)])),
    adaptersText(report.adapters),
    loadsText(report.loads),
    table(['SECOND', ...ENDING_HEADERS, 'LOADS ASKED', 'ORDERED'], report.bySecond.map(({ second, endings, loadsAsked, loadsOrdered }) => [
      String(second), ...endingCells(endings), String(loadsAsked), String(loadsOrdered)
    ])),
    'Times are in milliseconds: median / 90th percentile / 99th percentile.'
  ].join('\n\n')
}

const ENDING_HEADERS = ['ANSWERED', 'REFUSED', 'CUT', 'LEFT']

function endingCells ({ answered, refused, cut, left }: EndingCounts): string[] {
  return [answered, refused, cut, left].map(String)
}

function adaptersText ({ asked, served, askedAgain, neverServed, neverServedByChance, worst }: AdapterReport): string {
  return [
    `${asked} adapters requested, ${served} served; ${askedAgain} requested repeatedly, ${neverServed} of them never served (expected by chance: ${neverServedByChance.toFixed(1)})`,
    table(['NEVER SERVED', 'REQUESTS', 'OVER', 'ASKED OF', 'ENDED BY'], worst.slice(0, MAXIMUM_ROWS).map(({ adapter, requests, spanMilliseconds, engines, ends }) => [
      adapter, String(requests), `${spanMilliseconds} ms`, countsText(engines), countsText(ends)
    ]))
  ].join('\n\n')
}

function countsText (counts: readonly Count[]): string {
  return counts.length === 0 ? '-' : counts.map(({ name, count }) => `${name} (${count})`).join(', ')
}

function loadsText (loads: LoadReport): string {
  return [
    `${loads.ordered} loads for ${loads.asked} load requests, ${loads.orderedForEachStream.toFixed(2)} for each answered stream; ${loads.backSoon} of adapters that had been unloaded within 3 s before`,
    table(['LOADS HELD UP BY', 'COUNT', 'WAITED'], loads.holdUps.map(({ reason, waited }) => [reason, String(waited.count), summaryText(waited)])),
    table(['ENGINE ASKED AND WITHOUT LOADS', 'FOR'], loads.idleEngines.slice(0, MAXIMUM_ROWS).map(({ endpoint, milliseconds }) => [endpoint, `${milliseconds} ms`]))
  ].join('\n\n')
}

function summaryText ({ count, median, p90, p99 }: DurationSummary): string {
  return count === 0 ? '-' : `${median} / ${p90} / ${p99}`
}
