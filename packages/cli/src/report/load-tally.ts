/** Counts adapter loads, what delayed them, and those of adapters that had been unloaded shortly before. */
import type { LogLine } from '../logs/log-line.js'
import { DurationHistogram } from './duration-histogram.js'
import type { DurationSummary } from './duration-histogram.js'

const SECOND_MILLISECONDS = 1_000
/** Within this time another order for the same adapter and engine only checks whether the load has completed. */
const SAME_LOAD_MILLISECONDS = 2_000
/** An adapter that is loaded again within this time was evicted too early. */
const EARLY_RELOAD_MILLISECONDS = 3_000
/** An engine that received a load request and no order for this long has no load owner or no free slot. */
const IDLE_MILLISECONDS = 1_000

/** Loads that were delayed for the same reason. */
export interface LoadDelay {
  readonly reason: string
  /** Time from the first request for the load to its order, in milliseconds. */
  readonly waited: DurationSummary
}

/** The longest time in which an engine had load requests and received no order. */
export interface IdleEngine {
  readonly endpoint: string
  readonly milliseconds: number
}

/** Numbers and delays of the loads of a run. */
export interface LoadReport {
  readonly asked: number
  readonly ordered: number
  /** Orders for each stream that was answered completely. */
  readonly orderedForEachStream: number
  /** Loads by an engine that had unloaded the same adapter less than three seconds before. */
  readonly backSoon: number
  /** What delayed loads before they were ordered, the most frequent reason first. */
  readonly holdUps: readonly LoadDelay[]
  /** The longest time of each engine with load requests and no order, the longest first. */
  readonly idleEngines: readonly IdleEngine[]
}

/** Load requests and load orders in one second. */
export interface LoadsInSecond {
  readonly loadsAsked: number
  readonly loadsOrdered: number
}

/** Messages after which no load is requested from an engine. */
const ENGINE_LEFT_MESSAGES: ReadonlySet<string> = new Set(['An endpoint is leaving.', 'An endpoint is gone.'])

interface EngineTally {
  askedSince: number | undefined
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

  /** Counts a request that was answered completely. */
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

  /** Includes the time up to the last log line for an engine that still waits for an order then. */
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
