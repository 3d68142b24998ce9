/** How a time is spread over many requests. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Longer than any request lasts. */
const LONGEST_MILLISECONDS = 600_000
const DIGITS = 3

/** Milliseconds of which so many in a hundred are no longer. */
export interface Spread {
  readonly count: number
  readonly median: number
  readonly p90: number
  readonly p99: number
  readonly longest: number
}

/** Gathers times. */
export class SpreadOf {
  private readonly histogram: Histogram = build({ highestTrackableValue: LONGEST_MILLISECONDS, numberOfSignificantValueDigits: DIGITS })

  /** Counts a time in milliseconds; what is no number is passed over. */
  take (value: unknown): void {
    if (typeof value !== 'number' || !Number.isFinite(value)) return
    this.histogram.recordValue(Math.min(LONGEST_MILLISECONDS, Math.max(0, Math.round(value))))
  }

  /** @returns the spread of what was counted */
  spread (): Spread {
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
