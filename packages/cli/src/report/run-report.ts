/**
 * Computes from the log lines of any number of instances how requests ended and how long their phases took. A run is the time from the
 * first to the last of these lines.
 */
import type { LogLine } from '../logs/log-line.js'
import { AdapterTally } from './adapter-tally.js'
import type { AdapterReport } from './adapter-tally.js'
import { endingOf, reasonOf } from './endings.js'
import type { Ending } from './endings.js'
import { LoadTally } from './load-tally.js'
import type { LoadReport } from './load-tally.js'
import { DurationHistogram } from './duration-histogram.js'
import type { DurationSummary } from './duration-histogram.js'

const SECOND_MILLISECONDS = 1_000

/** Number of requests by how they ended. */
export type EndingCounts = Readonly<Record<Ending, number>>

/** Outcomes and durations of the requests of one route. */
export interface RouteReport {
  readonly route: string
  readonly endings: EndingCounts
  /** Time of streams from the request to the first event, in milliseconds. */
  readonly firstEvent: DurationSummary
  /** Time that requests waited for an adapter to be loaded, in milliseconds; requests that did not wait are not counted. */
  readonly loadStall: DurationSummary
  /** Longest time between two events of a stream, in milliseconds. */
  readonly longestGap: DurationSummary
  /** Time from the request to the end of the response, in milliseconds. */
  readonly whole: DurationSummary
}

/** Requests that ended without a complete response for the same reason. */
export interface LossReport {
  readonly ending: Ending
  readonly reason: string
  /** Time from the request to its end, in milliseconds. */
  readonly after: DurationSummary
}

/** Ended requests, load requests and load orders in one second of the run. */
export interface SecondReport {
  /** Number of the second, counted from 0 at the first log line. */
  readonly second: number
  readonly endings: EndingCounts
  readonly loadsAsked: number
  readonly loadsOrdered: number
}

/** Report on a run. */
export interface RunReport {
  /** Number of log lines. */
  readonly lines: number
  /** Number of clock seconds from the first to the last log line, both included. */
  readonly seconds: number
  readonly routes: readonly RouteReport[]
  /** Requests without a complete response by reason, the most frequent reason first. */
  readonly losses: readonly LossReport[]
  readonly adapters: AdapterReport
  readonly loads: LoadReport
  readonly bySecond: readonly SecondReport[]
}

interface RouteTally {
  readonly endings: Record<Ending, number>
  readonly firstEvent: DurationHistogram
  readonly loadStall: DurationHistogram
  readonly longestGap: DurationHistogram
  readonly whole: DurationHistogram
}

interface LossTally {
  readonly ending: Ending
  readonly reason: string
  readonly after: DurationHistogram
}

/** Accumulates log lines and computes the report on them. */
export class RunReporter {
  private readonly routes = new Map<string, RouteTally>()
  private readonly losses = new Map<string, LossTally>()
  private readonly adapters = new AdapterTally()
  private readonly loads = new LoadTally()
  private readonly endingsBySecond = new Map<number, Record<Ending, number>>()
  private lines = 0
  private firstAt = Infinity
  private lastAt = -Infinity

  /** Counts a log line. The lines of one instance must be recorded in their order; lines of different instances may be interleaved freely. */
  record (line: LogLine): void {
    this.lines += 1
    this.firstAt = Math.min(this.firstAt, line.at)
    this.lastAt = Math.max(this.lastAt, line.at)
    this.loads.record(line)
    this.adapters.record(line)
    const ending = endingOf(line)
    if (ending !== undefined) this.recordEnding(ending, line)
  }

  /** @returns the report on all lines recorded so far */
  report (): RunReport {
    const first = Math.floor(this.firstAt / SECOND_MILLISECONDS)
    const last = Math.floor(this.lastAt / SECOND_MILLISECONDS)
    const seconds = this.lines === 0 ? 0 : last - first + 1
    return {
      lines: this.lines,
      seconds,
      routes: [...this.routes].map(([route, tally]) => routeReport(route, tally)).sort((one, other) => one.route.localeCompare(other.route)),
      losses: [...this.losses.values()].map(({ ending, reason, after }) => ({ ending, reason, after: after.summary() })).sort((one, other) => other.after.count - one.after.count),
      adapters: this.adapters.report(),
      loads: this.loads.report(),
      bySecond: Array.from({ length: seconds }, (_, second) => this.secondReport(first + second, second))
    }
  }

  private recordEnding (ending: Ending, line: LogLine): void {
    const { at, fields } = line
    const tally = this.routeTally(String(fields.route ?? 'no route'))
    tally.endings[ending] += 1
    const second = Math.floor(at / SECOND_MILLISECONDS)
    const endings = this.endingsBySecond.get(second) ?? noEndings()
    this.endingsBySecond.set(second, endings)
    endings[ending] += 1
    if (ending !== 'answered') return this.lost(ending, line)
    this.loads.answered(typeof fields.firstEvent === 'number')
    tally.firstEvent.record(fields.firstEvent)
    tally.longestGap.record(fields.longestGap)
    tally.whole.record(fields.milliseconds)
    if (Number(fields.loadStall ?? 0) > 0) tally.loadStall.record(fields.loadStall)
  }

  private lost (ending: Ending, line: LogLine): void {
    const reason = reasonOf(line)
    const key = `${ending} ${reason}`
    const tally = this.losses.get(key) ?? { ending, reason, after: new DurationHistogram() }
    this.losses.set(key, tally)
    tally.after.record(line.fields.milliseconds)
  }

  private routeTally (route: string): RouteTally {
    const known = this.routes.get(route)
    if (known !== undefined) return known
    const tally = { endings: noEndings(), firstEvent: new DurationHistogram(), loadStall: new DurationHistogram(), longestGap: new DurationHistogram(), whole: new DurationHistogram() }
    this.routes.set(route, tally)
    return tally
  }

  private secondReport (unixSecond: number, second: number): SecondReport {
    return { second, endings: this.endingsBySecond.get(unixSecond) ?? noEndings(), ...this.loads.inSecond(unixSecond) }
  }
}

function noEndings (): Record<Ending, number> {
  return { answered: 0, refused: 0, cut: 0, left: 0 }
}

function routeReport (route: string, { endings, firstEvent, loadStall, longestGap, whole }: RouteTally): RouteReport {
  return { route, endings, firstEvent: firstEvent.summary(), loadStall: loadStall.summary(), longestGap: longestGap.summary(), whole: whole.summary() }
}
