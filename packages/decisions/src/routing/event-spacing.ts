/** Measures the time between the events of one response stream. The relative speed of engines is estimated from it, see `engine-speeds.ts`. */

/** Number of measured gaps, that is, times between two consecutive events, that is enough for an estimate; later gaps of the stream are ignored. */
const MAXIMUM_GAPS = 32
/** Number of measured gaps below which there is no estimate. */
const MINIMUM_GAPS = 6
/** Numbers of gaps after which the listener gets an estimate: early, so that a long stream tells of its engine before it ends, and once more. */
const REPORTED_GAPS: ReadonlySet<number> = new Set([MINIMUM_GAPS, 24])
/** Shorter gaps are ignored: the two events arrived in one chunk, so the gap between them does not show the spacing. */
const MINIMUM_GAP_MILLISECONDS = 2
/**
 * Quantile of the gaps that is taken as the spacing. On a busy engine fewer than half of the gaps are free of other requests'
 * prefill, but a quarter usually are.
 */
const GAP_QUANTILE = 0.25

/** Estimates the spacing of one stream's events without the pauses in which the engine prefilled other requests' prompts. */
export class EventSpacing {
  private readonly gaps: number[] = []
  private listener: ((milliseconds: number) => void) | undefined

  /** Registers the listener that is called with estimates while the stream runs. */
  onEstimate (listener: (milliseconds: number) => void): void {
    this.listener = listener
  }

  /** Records the time between two consecutive events. */
  recordGap (milliseconds: number): void {
    if (this.gaps.length >= MAXIMUM_GAPS || milliseconds < MINIMUM_GAP_MILLISECONDS) return
    this.gaps.push(milliseconds)
    const estimate = REPORTED_GAPS.has(this.gaps.length) ? this.milliseconds : undefined
    if (estimate !== undefined) this.listener?.(estimate)
  }

  /** Time between two events of the stream, milliseconds; undefined while the stream has too few gaps. */
  get milliseconds (): number | undefined {
    if (this.gaps.length < MINIMUM_GAPS) return undefined
    const sorted = this.gaps.toSorted((left, right) => left - right)
    return sorted[Math.floor(sorted.length * GAP_QUANTILE)]
  }
}
