/** Loads of adapters: how many, what held them up, and which came back soon after they had left. */
import type { LogLine } from '../logs/log-line.js'
import { DurationHistogram } from './duration-histogram.js'
import type { DurationSummary } from './duration-histogram.js'

const SECOND_MILLISECONDS = 1_000
/** An order for the same adapter and engine within this asks whether the load has arrived. */
const SAME_LOAD_MILLISECONDS = 2_000
/** An adapter that is loaded again so soon was evicted too early. */
const EARLY_RELOAD_MILLISECONDS = 3_000
/** An engine that is asked for a load and orders none for so long has nobody to order for it, or no place. */
const IDLE_MILLISECONDS = 1_000

/** Loads that waited for the same reason. */
export interface LoadDelay {
  readonly reason: string
  /** From the first request for it to the order, milliseconds. */
  readonly waited: DurationSummary
}

/** A time in which an engine was asked for loads and ordered none. */
export interface IdleEngine {
  readonly endpoint: string
  readonly milliseconds: number
}

/** The loads of a run. */
export interface LoadReport {
  readonly asked: number
  readonly ordered: number
  /** For each stream that was answered whole. */
  readonly orderedForEachStream: number
  /** Loaded by an engine that had dropped the adapter within three seconds. */
  readonly backSoon: number
  /** What held loads up before they were ordered, the most frequent reason first. */
  readonly holdUps: readonly LoadDelay[]
  /** The longest such time of each engine, the longest first. */
  readonly idleEngines: readonly IdleEngine[]
}

/** Loads in one second. */
export interface LoadsInSecond {
  readonly loadsAsked: number
  readonly loadsOrdered: number
}

/** From these lines on an engine is asked for nothing. */
const ENGINE_LEFT_MESSAGES: ReadonlySet<string> = new Set(['An endpoint is leaving.', 'An endpoint is gone.'])

interface EngineTally {
  askedSince: number | undefined
  longestIdle: number
}

/** Counts loads. */
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

  /** Counts a line when it tells of a load. */
  record (line: LogLine): void {
    this.lastAt = Math.max(this.lastAt, line.at)
    if (line.message === 'A load was asked for.') this.recordLoadRequest(line)
    else if (line.message === 'An order was given.') this.recordOrder(line)
    else if (ENGINE_LEFT_MESSAGES.has(line.message)) this.recordDeparture(line)
  }

  /** A request was answered whole. */
  answered (isStream: boolean): void {
    if (isStream) this.streams += 1
  }

  /** @returns the loads of one second, counted in Unix seconds */
  inSecond (unixSecond: number): LoadsInSecond {
    return { loadsAsked: this.askedBySecond.get(unixSecond) ?? 0, loadsOrdered: this.orderedBySecond.get(unixSecond) ?? 0 }
  }

  /** @returns what all lines so far come to */
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

  /** An engine that is still without loads when the lines end counts as well. */
  private longestIdle ({ askedSince, longestIdle }: EngineTally): number {
    return Math.max(longestIdle, askedSince === undefined ? 0 : this.lastAt - askedSince)
  }

  private recordLoadRequest ({ at, fields }: LogLine): void {
    this.asked += 1
    countIn(this.askedBySecond, at)
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
    countIn(this.orderedBySecond, at)
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
    const spread = this.holdUps.get(reason) ?? new DurationHistogram()
    this.holdUps.set(reason, spread)
    spread.record(waited)
  }

  private engineTally (endpoint: string): EngineTally {
    const known = this.engines.get(endpoint)
    if (known !== undefined) return known
    const tally = { askedSince: undefined, longestIdle: 0 }
    this.engines.set(endpoint, tally)
    return tally
  }
}

function countIn (bySecond: Map<number, number>, at: number): void {
  const second = Math.floor(at / SECOND_MILLISECONDS)
  bySecond.set(second, (bySecond.get(second) ?? 0) + 1)
}
