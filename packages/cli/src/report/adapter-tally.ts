/** Counts requests by adapter and finds adapters that were requested repeatedly and never served. */
import type { LogLine } from '../logs/log-line.js'
import { endingOf, reasonOf } from './endings.js'

/** An adapter with at least this number of requests counts as requested repeatedly, if the requests span at least `MINIMUM_SPAN_MILLISECONDS`. */
const MINIMUM_REQUESTS = 4
/** Minimum time between the first and the last request for an adapter that counts as requested repeatedly. */
const MINIMUM_SPAN_MILLISECONDS = 8_000
/** Maximum number of never served adapters that the report names, those with most requests first; the others are only counted. */
const MAXIMUM_LISTED_ADAPTERS = 100
/** Maximum number of engines, and of ways in which requests ended, that the report names for each never served adapter, the most frequent first. */
const MAXIMUM_LISTED_COUNTS = 4

/** Number of occurrences of a name. */
export interface Count {
  readonly name: string
  readonly count: number
}

/** An adapter that was requested repeatedly and never served. */
export interface UnservedAdapter {
  readonly adapter: string
  readonly requests: number
  /** Time between the first and the last request for the adapter. */
  readonly spanMilliseconds: number
  /**
   * Engines on which instances requested a load of the adapter because a request of a caller waited for it, each with the number of
   * these load requests.
   */
  readonly engines: readonly Count[]
  /** How and why the requests for the adapter ended, with the number of requests. */
  readonly ends: readonly Count[]
}

/** Numbers of the adapters of a run, by whether they were served. */
export interface AdapterReport {
  /** Adapters that were requested at least once. */
  readonly asked: number
  /** Adapters of which at least one request was answered completely with status 200. */
  readonly served: number
  /**
   * Adapters for which callers sent at least `MINIMUM_REQUESTS` requests, with at least `MINIMUM_SPAN_MILLISECONDS` between the first and
   * the last.
   */
  readonly askedAgain: number
  /** Adapters that were requested repeatedly and never served. */
  readonly neverServed: number
  /** Expected number of never served adapters among those requested repeatedly, if every request had the same chance of being served. */
  readonly neverServedByChance: number
  /** Never served adapters, the one with most requests first. */
  readonly worst: readonly UnservedAdapter[]
}

interface Tally {
  requests: number
  served: number
  firstAt: number
  lastAt: number
  readonly engines: Map<string, number>
  readonly ends: Map<string, number>
}

/** Counts requests by adapter. */
export class AdapterTally {
  private readonly adapters = new Map<string, Tally>()
  /** Adapters of requests that have not ended, by request id. */
  private readonly open = new Map<string, string>()

  /** Counts a log line if it concerns a request for an adapter. */
  record (line: LogLine): void {
    const { request } = line.fields
    if (typeof request !== 'string') return
    const adapter = this.adapterOf(request, line)
    if (adapter === undefined) return
    const tally = this.tallyOf(adapter, line.at)
    if (!this.open.has(request)) this.recordStart(request, adapter, tally, line.at)
    if (line.message === 'A load was asked for.' && line.fields.waiting === true) increment(tally.engines, String(line.fields.endpoint))
    const ending = endingOf(line)
    if (ending === undefined) return
    this.open.delete(request)
    if (ending === 'answered' && line.fields.status === 200) tally.served += 1
    else increment(tally.ends, `${ending}: ${reasonOf(line)}`)
  }

  /** @returns the report on all lines recorded so far */
  report (): AdapterReport {
    const all = [...this.adapters]
    const requestedRepeatedly = all.filter(([, tally]) => isRequestedRepeatedly(tally))
    const neverServed = requestedRepeatedly.filter(([, { served }]) => served === 0)
    const requests = sumOf(all, ({ requests }) => requests)
    const unservedShare = requests === 0 ? 0 : 1 - sumOf(all, ({ served }) => served) / requests
    return {
      asked: all.length,
      served: all.filter(([, { served }]) => served > 0).length,
      askedAgain: requestedRepeatedly.length,
      neverServed: neverServed.length,
      neverServedByChance: sumOf(requestedRepeatedly, (tally) => unservedShare ** tally.requests),
      worst: neverServed.map(([adapter, tally]) => unservedAdapter(adapter, tally)).sort((one, other) => other.requests - one.requests).slice(0, MAXIMUM_LISTED_ADAPTERS)
    }
  }

  /** Finds the adapter of a request. Only some releases name the adapter in the request's last log line; all releases name it in earlier lines. */
  private adapterOf (request: string, { fields }: LogLine): string | undefined {
    return typeof fields.adapter === 'string' ? fields.adapter : this.open.get(request)
  }

  private recordStart (request: string, adapter: string, tally: Tally, at: number): void {
    this.open.set(request, adapter)
    tally.requests += 1
    tally.firstAt = Math.min(tally.firstAt, at)
    tally.lastAt = Math.max(tally.lastAt, at)
  }

  private tallyOf (adapter: string, at: number): Tally {
    const known = this.adapters.get(adapter)
    if (known !== undefined) return known
    const tally = { requests: 0, served: 0, firstAt: at, lastAt: at, engines: new Map(), ends: new Map() }
    this.adapters.set(adapter, tally)
    return tally
  }
}

function isRequestedRepeatedly ({ requests, firstAt, lastAt }: Tally): boolean {
  return requests >= MINIMUM_REQUESTS && lastAt - firstAt >= MINIMUM_SPAN_MILLISECONDS
}

function unservedAdapter (adapter: string, { requests, firstAt, lastAt, engines, ends }: Tally): UnservedAdapter {
  return { adapter, requests, spanMilliseconds: lastAt - firstAt, engines: mostFrequent(engines), ends: mostFrequent(ends) }
}

function mostFrequent (counts: ReadonlyMap<string, number>): Count[] {
  return [...counts].map(([name, count]) => ({ name, count })).sort((one, other) => other.count - one.count).slice(0, MAXIMUM_LISTED_COUNTS)
}

function sumOf (all: readonly (readonly [string, Tally])[], value: (tally: Tally) => number): number {
  return all.reduce((sum, [, tally]) => sum + value(tally), 0)
}

function increment (counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1)
}
