/** How a time is spread over many requests. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Longer than any request lasts. */
const MAXIMUM_MILLISECONDS = 600_000
const SIGNIFICANT_DIGITS = 3

/** Milliseconds of which so many in a hundred are no longer. */
export interface DurationSummary {
  readonly count: number
  readonly median: number
  readonly p90: number
  readonly p99: number
  readonly longest: number
}

/** Gathers times. */
export class DurationHistogram {
  private readonly histogram: Histogram = build({ highestTrackableValue: MAXIMUM_MILLISECONDS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })

  /** Counts a time in milliseconds; what is no number is passed over. */
  record (value: unknown): void {
    if (typeof value !== 'number' || !Number.isFinite(value)) return
    this.histogram.recordValue(Math.min(MAXIMUM_MILLISECONDS, Math.max(0, Math.round(value))))
  }

  /** @returns the spread of what was counted */
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
