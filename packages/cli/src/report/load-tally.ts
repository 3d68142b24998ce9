/** Counts adapter loads in log lines: load requests and load orders, what delayed loads, and reloads shortly after an unload. */
import type { LogLine } from '../logs/log-line.js'
import { DurationHistogram } from './duration-histogram.js'
import type { DurationSummary } from './duration-histogram.js'

const SECOND_MILLISECONDS = 1_000
/** Within this time after a load order, another load order for the same adapter and engine only checks whether the load has completed. */
const SAME_LOAD_MILLISECONDS = 2_000
/** An adapter that an engine loads again within this time after an unload was evicted too early. */
const EARLY_RELOAD_MILLISECONDS = 3_000
/** Minimum idle time of a reported engine. An engine with a load request and no load order for this long has no load owner or no free slot. */
const IDLE_MILLISECONDS = 1_000

/** Loads that were delayed for the same reason. */
export interface LoadDelay {
  readonly reason: string
  /** Time from the first request for the load to its order, in milliseconds. */
  readonly waited: DurationSummary
}

/** An engine and the longest time in which it had load requests and received no load order. */
export interface IdleEngine {
  readonly endpoint: string
  readonly milliseconds: number
}

/** Numbers and delays of the loads of a run. */
export interface LoadReport {
  /** Number of load requests. */
  readonly asked: number
  /** Number of load orders that engines accepted; a repeated order for the same load is not counted. */
  readonly ordered: number
  /** Average number of load orders per completely answered stream. */
  readonly orderedForEachStream: number
  /** Number of load orders to an engine that had unloaded the same adapter less than three seconds before. */
  readonly backSoon: number
  /** What delayed loads before they were ordered, the most frequent reason first. */
  readonly holdUps: readonly LoadDelay[]
  /** Engines that had load requests and no load order for at least one second, the longest time first. */
  readonly idleEngines: readonly IdleEngine[]
}

/** Load requests and load orders in one second. */
export interface LoadsInSecond {
  readonly loadsAsked: number
  readonly loadsOrdered: number
}

/** Log messages that report that an engine leaves or has left; after them no load is requested from the engine. */
const ENGINE_LEFT_MESSAGES: ReadonlySet<string> = new Set(['An endpoint is leaving.', 'An endpoint is gone.'])

interface EngineTally {
  /** Unix time in milliseconds of the first load request since the last load order; undefined when there is none. */
  askedSince: number | undefined
  /** Longest time from such a request to the next load order or to the departure of the engine, in milliseconds. */
  longestIdle: number
}

/** Counts the loads of a run from its log lines. */
export class LoadTally {
  private readonly holdUps = new Map<string, DurationHistogram>()
  private readonly orderedAt = new Map<string, number>()
  private readonly droppedAt = new Map<string, number>()
  private readonly engines = new Map<string, EngineTally>()
  private readonly askedBySecond = new Map<number, number>()
  private readonly orderedBySecond = new Map<number, number>()
  private asked = 0
  private ordered = 0
  private backSoon = 0
  private streams = 0
  private lastAt = -Infinity

  /** Counts a log line if it concerns a load. */
  record (line: LogLine): void {
    this.lastAt = Math.max(this.lastAt, line.at)
    if (line.message === 'A load was asked for.') this.recordLoadRequest(line)
    else if (line.message === 'An order was given.') this.recordOrder(line)
    else if (ENGINE_LEFT_MESSAGES.has(line.message)) this.recordDeparture(line)
  }

  /** Counts a completely answered request if its response was a stream. */
  answered (isStream: boolean): void {
    if (isStream) this.streams += 1
  }

  /**
   * Counts the loads of one second.
   *
   * @param unixSecond - Unix time in seconds
   * @returns the loads requested and ordered in that second
   */
  inSecond (unixSecond: number): LoadsInSecond {
    return { loadsAsked: this.askedBySecond.get(unixSecond) ?? 0, loadsOrdered: this.orderedBySecond.get(unixSecond) ?? 0 }
  }

  /** @returns the report on all lines recorded so far */
  report (): LoadReport {
    return {
      asked: this.asked,
      ordered: this.ordered,
      orderedForEachStream: this.streams === 0 ? 0 : this.ordered / this.streams,
      backSoon: this.backSoon,
      holdUps: [...this.holdUps].map(([reason, waited]) => ({ reason, waited: waited.summary() })).sort((one, other) => other.waited.count - one.waited.count),
      idleEngines: [...this.engines]
        .map(([endpoint, engine]) => ({ endpoint, milliseconds: this.longestIdle(engine) }))
        .filter(({ milliseconds }) => milliseconds >= IDLE_MILLISECONDS)
        .sort((one, other) => other.milliseconds - one.milliseconds)
    }
  }

  /**
   * Finds the longest time in which an engine had load requests and received no load order. If load requests have been
   * made since the last load order, the time from the first of these requests to the last recorded log line counts, too.
   *
   * @returns the time in milliseconds
   */
  private longestIdle ({ askedSince, longestIdle }: EngineTally): number {
    return Math.max(longestIdle, askedSince === undefined ? 0 : this.lastAt - askedSince)
  }

  private recordLoadRequest ({ at, fields }: LogLine): void {
    this.asked += 1
    increment(this.askedBySecond, at)
    const engine = this.engineTally(String(fields.endpoint))
    engine.askedSince ??= at
  }

  private recordOrder ({ at, fields }: LogLine): void {
    const { endpoint, adapter, operation, outcome } = fields
    const key = `${String(endpoint)} ${String(adapter)}`
    if (operation === 'unload' && outcome === 'holds') this.droppedAt.set(key, at)
    if (operation !== 'load' || outcome !== 'accepted') return
    this.endIdleTime(String(endpoint), at)
    if (at - (this.orderedAt.get(key) ?? -Infinity) < SAME_LOAD_MILLISECONDS) return
    this.orderedAt.set(key, at)
    this.ordered += 1
    increment(this.orderedBySecond, at)
    if (at - (this.droppedAt.get(key) ?? -Infinity) < EARLY_RELOAD_MILLISECONDS) this.backSoon += 1
    this.recordDelay(String(fields.heldUpBy ?? 'nothing'), fields.waited)
  }

  private endIdleTime (endpoint: string, at: number): void {
    const engine = this.engineTally(endpoint)
    if (engine.askedSince !== undefined) engine.longestIdle = Math.max(engine.longestIdle, at - engine.askedSince)
    engine.askedSince = undefined
  }

  private recordDeparture ({ at, fields }: LogLine): void {
    if (this.engines.has(String(fields.endpoint))) this.endIdleTime(String(fields.endpoint), at)
  }

  private recordDelay (reason: string, waited: unknown): void {
    const histogram = this.holdUps.get(reason) ?? new DurationHistogram()
    this.holdUps.set(reason, histogram)
    histogram.record(waited)
  }

  private engineTally (endpoint: string): EngineTally {
    const known = this.engines.get(endpoint)
    if (known !== undefined) return known
    const tally = { askedSince: undefined, longestIdle: 0 }
    this.engines.set(endpoint, tally)
    return tally
  }
}

function increment (bySecond: Map<number, number>, at: number): void {
  const second = Math.floor(at / SECOND_MILLISECONDS)
  bySecond.set(second, (bySecond.get(second) ?? 0) + 1)
}
