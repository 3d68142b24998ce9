/** The usual spacing of one stream's events, apart from the pauses in which its engine did something else. */

/** Enough to tell a spacing; later events of a stream add nothing. */
const MAXIMUM_GAPS = 32
const MINIMUM_GAPS = 6
/** Events that came in one piece say nothing of the time between them. */
const MINIMUM_GAP_MILLISECONDS = 2
/** Below half of the gaps are free of other requests' prompts on a busy engine; a quarter mostly are. */
const GAP_QUANTILE = 0.25

/** Gaps of one stream. */
export class EventSpacing {
  private readonly gaps: number[] = []

  /** An event came so long after the one before. */
  recordGap (milliseconds: number): void {
    if (this.gaps.length < MAXIMUM_GAPS && milliseconds >= MINIMUM_GAP_MILLISECONDS) this.gaps.push(milliseconds)
  }

  /** @returns the spacing in milliseconds; undefined for a stream that is too short to tell */
  get milliseconds (): number | undefined {
    if (this.gaps.length < MINIMUM_GAPS) return undefined
    const sorted = this.gaps.toSorted((left, right) => left - right)
    return sorted[Math.floor(sorted.length * GAP_QUANTILE)]
  }
}
