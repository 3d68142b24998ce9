/** Histograms for each team and class, and the same figures sent out as metrics. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { StatsD } from 'hot-shots'

/** What is measured, milliseconds. */
export const METRIC_NAMES = ['load_stall', 'queue_wait', 'first_token', 'between_tokens', 'whole'] as const
/** One of them. */
export type MetricName = (typeof METRIC_NAMES)[number]

/** How a request ended, as counted. */
export type CountedOutcome = 'answered' | 'not_run' | 'unknown'

const MAXIMUM_MILLISECONDS = 3_600_000
const MICROSECONDS_PER_MILLISECOND = 1_000

/** Where metrics go; without it they are only kept. */
export interface StatsDTarget {
  readonly host: string
  readonly port: number
}

/** The figures of one team and class. */
export class MetricSeries {
  readonly team: string
  readonly priorityClass: string
  private readonly histograms = new Map<MetricName, Histogram>()
  private readonly outcomes = new Map<CountedOutcome, number>()
  private readonly metrics: StatsD | undefined

  /**
   * @param team - whose requests
   * @param priorityClass - of which class
   * @param metrics - where they are sent as well
   */
  constructor (team: string, priorityClass: string, metrics: StatsD | undefined) {
    this.team = team
    this.priorityClass = priorityClass
    this.metrics = metrics
  }

  /** Records a time, milliseconds. */
  recordTime (measure: MetricName, milliseconds: number): void {
    this.histogram(measure).recordValue(Math.max(1, Math.min(MAXIMUM_MILLISECONDS, milliseconds) * MICROSECONDS_PER_MILLISECOND))
    // A metric for each token would cost more than relaying it; the histogram holds them.
    if (measure !== 'between_tokens') this.metrics?.histogram(measure, milliseconds, { team: this.team, class: this.priorityClass })
  }

  /** Counts how a request ended. */
  outcome (outcome: CountedOutcome): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1)
    this.metrics?.increment('requests', { team: this.team, class: this.priorityClass, outcome })
  }

  /** @returns the figures, milliseconds by measure */
  summary (): Record<string, unknown> {
    const times = [...this.histograms.entries()].map(([measure, histogram]) => [measure, summaryOf(histogram)])
    return { team: this.team, class: this.priorityClass, outcomes: Object.fromEntries(this.outcomes), milliseconds: Object.fromEntries(times) }
  }

  private histogram (measure: MetricName): Histogram {
    const present = this.histograms.get(measure)
    if (present !== undefined) return present
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAXIMUM_MILLISECONDS * MICROSECONDS_PER_MILLISECOND, numberOfSignificantValueDigits: 2, useWebAssembly: false, bitBucketSize: 32 })
    this.histograms.set(measure, histogram)
    return histogram
  }
}

/** The figures of one instance. */
export class Metrics {
  private readonly seriesByKey = new Map<string, MetricSeries>()
  private readonly metrics: StatsD | undefined

  /** @param target - where metrics are sent by UDP */
  constructor (target: StatsDTarget | undefined) {
    if (target === undefined) return
    // An unreachable collector must not end the instance, and hot-shots throws without a handler.
    this.metrics = new StatsD({ host: target.host, port: target.port, prefix: 'limpetwinch.', errorHandler: () => undefined })
  }

  /** @returns the series of a team and class */
  series (team: string, priorityClass: string): MetricSeries {
    const key = `${team} ${priorityClass}`
    const present = this.seriesByKey.get(key)
    if (present !== undefined) return present
    const series = new MetricSeries(team, priorityClass, this.metrics)
    this.seriesByKey.set(key, series)
    return series
  }

  /** @returns the figures, for the admin path */
  summary (): unknown[] {
    return [...this.seriesByKey.values()].map((series) => series.summary())
  }

  /** Sends what waits and closes the socket. */
  close (): void {
    this.metrics?.close()
  }
}

function summaryOf (histogram: Histogram): Record<string, number> {
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
  return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / MICROSECONDS_PER_MILLISECOND }
}
