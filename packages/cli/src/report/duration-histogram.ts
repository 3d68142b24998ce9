/** Summarises durations of many requests by percentiles. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Longest duration that the histogram can hold; longer than any request lasts. A longer duration is recorded as this value. */
const MAXIMUM_MILLISECONDS = 600_000
const SIGNIFICANT_DIGITS = 3

/** Number of durations and their percentiles, in milliseconds. */
export interface DurationSummary {
  readonly count: number
  readonly median: number
  readonly p90: number
  readonly p99: number
  readonly longest: number
}

/** Histogram of durations. */
export class DurationHistogram {
  private readonly histogram: Histogram = build({ highestTrackableValue: MAXIMUM_MILLISECONDS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })

  /** Records a duration in milliseconds; a value that is not a finite number is ignored. */
  record (value: unknown): void {
    if (typeof value !== 'number' || !Number.isFinite(value)) return
    this.histogram.recordValue(Math.min(MAXIMUM_MILLISECONDS, Math.max(0, Math.round(value))))
  }

  /** @returns number and percentiles of the recorded durations */
  summary (): DurationSummary {
    const { histogram } = this
    return {
      count: histogram.totalCount,
      median: histogram.getValueAtPercentile(50),
      p90: histogram.getValueAtPercentile(90),
      p99: histogram.getValueAtPercentile(99),
      longest: histogram.totalCount === 0 ? 0 : histogram.maxValue
    }
  }
}
