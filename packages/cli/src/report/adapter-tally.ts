/** Adapters that were asked for, and those among them that were asked for again and again and never served. */
import type { LogLine } from '../logs/log-line.js'
import { endingOf, reasonOf } from './endings.js'

/** An adapter is asked for again and again from so many requests on, over so long. */
const MINIMUM_REQUESTS = 4
const MINIMUM_SPAN_MILLISECONDS = 8_000
/** Never served adapters that the report names, the worst first; the others are counted. */
const MAXIMUM_LISTED_ADAPTERS = 100
/** Engines and ends that are named for each of them, the most frequent first. */
const MAXIMUM_LISTED_COUNTS = 4

/** How often something came. */
export interface Count {
  readonly name: string
  readonly count: number
}

/** An adapter that was asked for again and again and never served. */
export interface UnservedAdapter {
  readonly adapter: string
  readonly requests: number
  /** Between the first and the last request for it. */
  readonly spanMilliseconds: number
  /** Engines that were asked to load it, and how often. */
  readonly engines: readonly Count[]
  /** What ended its requests. */
  readonly ends: readonly Count[]
}

/** The adapters of a run. */
export interface AdapterReport {
  readonly asked: number
  readonly served: number
  /** Asked for again and again. */
  readonly askedAgain: number
  /** Of those, the ones that were never served. */
  readonly neverServed: number
  /** As many of those would never be served if each request had the same chance. */
  readonly neverServedByChance: number
  /** The one with most requests first. */
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
  /** Adapters of requests that have not ended. */
  private readonly open = new Map<string, string>()

  /** Counts a line when it tells of a request for an adapter. */
  record (line: LogLine): void {
    const { request } = line.fields
    if (typeof request !== 'string') return
    const adapter = this.adapterOf(request, line)
    if (adapter === undefined) return
    const tally = this.tallyOf(adapter, line.at)
    if (!this.open.has(request)) this.recordStart(request, adapter, tally, line.at)
    if (line.message === 'A load was asked for.' && line.fields.waiting === true) countIn(tally.engines, String(line.fields.endpoint))
    const ending = endingOf(line)
    if (ending === undefined) return
    this.open.delete(request)
    if (ending === 'answered' && line.fields.status === 200) tally.served += 1
    else countIn(tally.ends, `${ending}: ${reasonOf(line)}`)
  }

  /** @returns what all lines so far come to */
  report (): AdapterReport {
    const all = [...this.adapters]
    const again = all.filter(([, tally]) => isRequestedRepeatedly(tally))
    const never = again.filter(([, { served }]) => served === 0)
    const requests = sumOf(all, ({ requests }) => requests)
    const unservedShare = requests === 0 ? 0 : 1 - sumOf(all, ({ served }) => served) / requests
    return {
      asked: all.length,
      served: all.filter(([, { served }]) => served > 0).length,
      askedAgain: again.length,
      neverServed: never.length,
      neverServedByChance: sumOf(again, (tally) => unservedShare ** tally.requests),
      worst: never.map(([adapter, tally]) => unservedAdapter(adapter, tally)).sort((one, other) => other.requests - one.requests).slice(0, MAXIMUM_LISTED_ADAPTERS)
    }
  }

  /** The last line of a request names its adapter in some releases only; earlier lines do in all. */
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

function countIn (counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1)
}
