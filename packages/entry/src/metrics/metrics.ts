/** Request metrics by team and priority class, kept as histograms and sent to a StatsD collector. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { StatsD } from 'hot-shots'

/**
 * Names of the times measured for a request, all in milliseconds: the wait for an adapter to be loaded, the wait in the
 * admission queue, the time from the start of delivery to the first token, the time from one token to the next, and the time
 * from the start of delivery to the end of the response.
 */
export const METRIC_NAMES = ['load_stall', 'queue_wait', 'first_token', 'between_tokens', 'whole'] as const
/** Name of a measured time. */
export type MetricName = (typeof METRIC_NAMES)[number]

/** Outcome of a request as counted in the metrics: `not_run` means that it provably has not run, `unknown` that it may have. */
export type CountedOutcome = 'answered' | 'not_run' | 'unknown'

/** Longest time that a histogram records. Longer times are recorded as this value. */
const MAXIMUM_MILLISECONDS = 3_600_000
const MICROSECONDS_PER_MILLISECOND = 1_000

/** Address of a StatsD collector. Without one, metrics are only kept in memory. */
export interface StatsDTarget {
  readonly host: string
  readonly port: number
}

/** Metrics of one team and priority class. */
export class MetricSeries {
  readonly team: string
  readonly priorityClass: string
  private readonly histograms = new Map<MetricName, Histogram>()
  private readonly outcomes = new Map<CountedOutcome, number>()
  private readonly metrics: StatsD | undefined

  /**
   * @param team - the team of the requests
   * @param priorityClass - the priority class of the requests
   * @param metrics - the StatsD client, or undefined when metrics are only kept in memory
   */
  constructor (team: string, priorityClass: string, metrics: StatsD | undefined) {
    this.team = team
    this.priorityClass = priorityClass
    this.metrics = metrics
  }

  /** Records one measured time of a request. */
  recordTime (metric: MetricName, milliseconds: number): void {
    this.histogram(metric).recordValue(Math.max(1, Math.min(MAXIMUM_MILLISECONDS, milliseconds) * MICROSECONDS_PER_MILLISECOND))
    // Sending a metric for each token would cost more than relaying the token, so only the histogram records this time.
    if (metric !== 'between_tokens') this.metrics?.histogram(metric, milliseconds, { team: this.team, class: this.priorityClass })
  }

  /** Counts the outcome of a request. */
  outcome (outcome: CountedOutcome): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1)
    this.metrics?.increment('requests', { team: this.team, class: this.priorityClass, outcome })
  }

  /** @returns the counted outcomes, and the times in milliseconds by metric name */
  summary (): Record<string, unknown> {
    const times = [...this.histograms.entries()].map(([metric, histogram]) => [metric, summaryOf(histogram)])
    return { team: this.team, class: this.priorityClass, outcomes: Object.fromEntries(this.outcomes), milliseconds: Object.fromEntries(times) }
  }

  private histogram (metric: MetricName): Histogram {
    const present = this.histograms.get(metric)
    if (present !== undefined) return present
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAXIMUM_MILLISECONDS * MICROSECONDS_PER_MILLISECOND,
      numberOfSignificantValueDigits: 2,
      useWebAssembly: false,
      bitBucketSize: 32
    })
    this.histograms.set(metric, histogram)
    return histogram
  }
}

/** Metrics of one instance. */
export class Metrics {
  private readonly seriesByKey = new Map<string, MetricSeries>()
  private readonly metrics: StatsD | undefined

  /** @param target - the StatsD collector that metrics are sent to over UDP, or undefined to only keep them in memory */
  constructor (target: StatsDTarget | undefined) {
    if (target === undefined) return
    // hot-shots throws errors when it has no error handler, and an unreachable collector must not end the instance.
    this.metrics = new StatsD({ host: target.host, port: target.port, prefix: 'limpetwinch.', errorHandler: () => undefined })
  }

  /** @returns the metrics of a team and priority class, created if there are none yet */
  series (team: string, priorityClass: string): MetricSeries {
    const key = `${team} ${priorityClass}`
    const present = this.seriesByKey.get(key)
    if (present !== undefined) return present
    const series = new MetricSeries(team, priorityClass, this.metrics)
    this.seriesByKey.set(key, series)
    return series
  }

  /** @returns the metrics of all teams and priority classes, for the admin API */
  summary (): unknown[] {
    return [...this.seriesByKey.values()].map((series) => series.summary())
  }

  /** Sends buffered metrics and closes the socket. */
  close (): void {
    this.metrics?.close()
  }
}

function summaryOf (histogram: Histogram): Record<string, number> {
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
  return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99), max: histogram.maxValue / MICROSECONDS_PER_MILLISECOND }
}
