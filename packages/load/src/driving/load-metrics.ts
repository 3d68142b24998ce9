/** Metrics of the load tool: times as histograms, outcomes as counts. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { LoadEnd } from '../targets/load-target.js'

/** Count and percentiles of one kind of time, milliseconds. */
export interface TimeSummary {
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly maximum: number
}

/** Figures of a run. */
export interface MetricsSummary {
  readonly requests: number
  readonly outcomes: Readonly<Record<string, number>>
  /** Number of failures by code. */
  readonly codes: Readonly<Record<string, number>>
  readonly tokens: number
  /** Delay between the time of a request in the trace and its sending; more than a few milliseconds mean that the load tool is overloaded. */
  readonly lateness: TimeSummary
  readonly firstToken: TimeSummary
  readonly betweenTokens: TimeSummary
  readonly whole: TimeSummary
}

const MICROSECONDS_PER_MILLISECOND = 1000
const MAXIMUM_RECORDED_MICROSECONDS = 3_600_000_000

/** Collects the figures of one run. */
export class LoadMetrics {
  private requests = 0
  private tokens = 0
  private readonly outcomes = new Map<string, number>()
  private readonly codes = new Map<string, number>()
  private readonly lateness = histogram()
  private readonly firstToken = histogram()
  private readonly betweenTokens = histogram()
  private readonly whole = histogram()

  /** Records a sent request with its delay after the due time, milliseconds. */
  sent (delay: number): void {
    this.requests += 1
    record(this.lateness, delay)
  }

  /** Records a token with the time since the request was due for the first token, and since the previous token for others, milliseconds. */
  token (first: boolean, milliseconds: number): void {
    this.tokens += 1
    record(first ? this.firstToken : this.betweenTokens, milliseconds)
  }

  /** Records the end of a request with the time since the request was due, milliseconds. */
  ended (end: LoadEnd, milliseconds: number): void {
    count(this.outcomes, end.outcome)
    if (end.outcome === 'answered') record(this.whole, milliseconds)
    else count(this.codes, end.code ?? 'no code')
  }

  /** @returns the figures so far */
  summary (): MetricsSummary {
    return {
      requests: this.requests,
      outcomes: Object.fromEntries(this.outcomes),
      codes: Object.fromEntries(this.codes),
      tokens: this.tokens,
      lateness: summaryOf(this.lateness),
      firstToken: summaryOf(this.firstToken),
      betweenTokens: summaryOf(this.betweenTokens),
      whole: summaryOf(this.whole)
    }
  }
}

function histogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAXIMUM_RECORDED_MICROSECONDS, numberOfSignificantValueDigits: 3 })
}

function record (into: Histogram, milliseconds: number): void {
  into.recordValue(Math.min(MAXIMUM_RECORDED_MICROSECONDS, Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND))))
}

function summaryOf (times: Histogram): TimeSummary {
  const at = (percentile: number): number => times.totalCount === 0 ? 0 : times.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
  return { count: times.totalCount, p50: at(50), p95: at(95), p99: at(99), maximum: at(100) }
}

function count (counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1)
}
