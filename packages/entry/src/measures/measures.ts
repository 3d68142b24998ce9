/** Histograms for each team and class, and the same figures sent out as metrics. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { StatsD } from 'hot-shots'

/** What is measured, milliseconds. */
export const MEASURES = ['load_stall', 'queue_wait', 'first_token', 'between_tokens', 'whole'] as const
/** One of them. */
export type Measure = (typeof MEASURES)[number]

/** How a request ended, as counted. */
export type CountedOutcome = 'answered' | 'not_run' | 'unknown'

const LONGEST_MILLISECONDS = 3_600_000
const MICROSECONDS = 1_000

/** Where metrics go; without it they are only kept. */
export interface MetricsTarget {
  readonly host: string
  readonly port: number
}

interface Series {
  readonly histograms: Map<Measure, Histogram>
  readonly outcomes: Map<CountedOutcome, number>
}

/** The figures of one instance. */
export class Measures {
  private readonly series = new Map<string, Series>()
  private readonly metrics: StatsD | undefined

  /** @param target - where metrics are sent by UDP */
  constructor (target: MetricsTarget | undefined) {
    if (target === undefined) return
    // An unreachable collector must not end the instance, and hot-shots throws without a handler.
    this.metrics = new StatsD({ host: target.host, port: target.port, prefix: 'limpetwinch.', errorHandler: () => undefined })
  }

  /** Records a time, milliseconds. */
  time (measure: Measure, team: string, priorityClass: string, milliseconds: number): void {
    const histogram = this.histogram(measure, team, priorityClass)
    histogram.recordValue(Math.max(1, Math.min(LONGEST_MILLISECONDS, milliseconds) * MICROSECONDS))
    // A metric for each token would cost more than relaying it; the histogram holds them.
    if (measure !== 'between_tokens') this.metrics?.histogram(measure, milliseconds, { team, class: priorityClass })
  }

  /** Counts how a request ended. */
  outcome (outcome: CountedOutcome, team: string, priorityClass: string): void {
    const { outcomes } = this.seriesOf(team, priorityClass)
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
    this.metrics?.increment('requests', { team, class: priorityClass, outcome })
  }

  /** @returns the figures, for the admin path: milliseconds by team, class and measure */
  summary (): unknown[] {
    return [...this.series.entries()].map(([key, series]) => {
      const [team, priorityClass] = key.split(' ')
      const times = [...series.histograms.entries()].map(([measure, histogram]) => [measure, summaryOf(histogram)])
      return { team, class: priorityClass, outcomes: Object.fromEntries(series.outcomes), milliseconds: Object.fromEntries(times) }
    })
  }

  /** Sends what waits and closes the socket. */
  close (): void {
    this.metrics?.close()
  }

  private histogram (measure: Measure, team: string, priorityClass: string): Histogram {
    const { histograms } = this.seriesOf(team, priorityClass)
    const present = histograms.get(measure)
    if (present !== undefined) return present
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: LONGEST_MILLISECONDS * MICROSECONDS, numberOfSignificantValueDigits: 2, useWebAssembly: false, bitBucketSize: 32 })
    histograms.set(measure, histogram)
    return histogram
  }

  private seriesOf (team: string, priorityClass: string): Series {
    const key = `${team} ${priorityClass}`
    const present = this.series.get(key)
    if (present !== undefined) return present
    const series: Series = { histograms: new Map(), outcomes: new Map() }
    this.series.set(key, series)
    return series
  }
}

function summaryOf (histogram: Histogram): Record<string, number> {
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS
  return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / MICROSECONDS }
}
