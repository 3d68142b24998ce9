/** A run's report as tables for people. */
import { table } from '../show/table.js'
import type { AdapterReport, Count } from './adapter-tally.js'
import type { LoadReport } from './load-tally.js'
import type { EndingCounts, RunReport } from './run-report.js'
import type { DurationSummary } from './duration-histogram.js'

/** Rows of the tables that list the worst first. */
const MAXIMUM_ROWS = 12

/** @returns the report, one table for each question */
export function reportText (report: RunReport): string {
  return [
    `${report.lines} lines of ${report.seconds} s`,
    table(['ROUTE', ...ENDING_HEADERS, 'FIRST EVENT', 'LOAD STALL', 'LONGEST GAP', 'WHOLE'], report.routes.map((route) => [
      route.route, ...endingCells(route.endings), spreadText(route.firstEvent), spreadText(route.loadStall), spreadText(route.longestGap), spreadText(route.whole)
    ])),
    table(['LOST', 'REASON', 'COUNT', 'AFTER'], report.losses.slice(0, MAXIMUM_ROWS).map(({ ending, reason, after }) => [ending, reason, String(after.count), spreadText(after)])),
    adaptersText(report.adapters),
    loadsText(report.loads),
    table(['SECOND', ...ENDING_HEADERS, 'LOADS ASKED', 'ORDERED'], report.bySecond.map(({ second, endings, loadsAsked, loadsOrdered }) => [
      String(second), ...endingCells(endings), String(loadsAsked), String(loadsOrdered)
    ])),
    'Times are milliseconds: median / 90 in 100 / 99 in 100.'
  ].join('\n\n')
}

const ENDING_HEADERS = ['ANSWERED', 'REFUSED', 'CUT', 'LEFT']

function endingCells ({ answered, refused, cut, left }: EndingCounts): string[] {
  return [answered, refused, cut, left].map(String)
}

function adaptersText ({ asked, served, askedAgain, neverServed, neverServedByChance, worst }: AdapterReport): string {
  return [
    `${asked} adapters asked for, ${served} served; ${askedAgain} asked for again and again, ${neverServed} of them never served (by chance ${neverServedByChance.toFixed(1)})`,
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
    `${loads.ordered} loads for ${loads.asked} askings, ${loads.orderedForEachStream.toFixed(2)} for each stream answered; ${loads.backSoon} came back within 3 s`,
    table(['LOADS HELD UP BY', 'COUNT', 'WAITED'], loads.holdUps.map(({ reason, waited }) => [reason, String(waited.count), spreadText(waited)])),
    table(['ENGINE ASKED AND WITHOUT LOADS', 'FOR'], loads.idleEngines.slice(0, MAXIMUM_ROWS).map(({ endpoint, milliseconds }) => [endpoint, `${milliseconds} ms`]))
  ].join('\n\n')
}

function spreadText ({ count, median, p90, p99 }: DurationSummary): string {
  return count === 0 ? '-' : `${median} / ${p90} / ${p99}`
}
