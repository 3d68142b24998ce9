/** Learns how long the runs of one kind of request last, to forecast whether another run ends before a deadline. */

/** Upper bound of the first bucket, in the unit of the durations. */
const FIRST_BOUND = 0.01
/** Ratio of the upper bounds of two neighbouring buckets; a duration is taken for the upper bound of its bucket, so at most this much too long. */
const BUCKET_RATIO = 1.15
/** Number of buckets; the last one takes all longer durations. */
const BUCKETS = 140
/** Fewest runs from which a forecast is made. Few runs suffice: those of long duration are few, and a wrong refusal costs little. */
const MINIMUM_RUNS = 3
/** Total weight of the runs at which all weights are halved, so that newer runs count more. */
const MAXIMUM_WEIGHT = 200

/** Distribution of the durations of recent runs. */
export class RunDurations {
  private readonly weights = new Float64Array(BUCKETS)
  private total = 0

  /** Records the duration of one run; any unit, but the same for all of them. */
  record (duration: number): void {
    if (this.total >= MAXIMUM_WEIGHT) this.halve()
    const bucket = bucketOf(duration)
    this.weights[bucket] = (this.weights[bucket] ?? 0) + 1
    this.total += 1
  }

  /** @returns share of the recent runs that lasted longer than this, 0 to 1; undefined while too few are known */
  shareLongerThan (duration: number): number | undefined {
    if (this.total < MINIMUM_RUNS) return undefined
    let longer = 0
    for (let bucket = BUCKETS - 1; bucket >= 0 && upperBound(bucket) > duration; bucket -= 1) longer += this.weights[bucket] ?? 0
    return longer / this.total
  }

  private halve (): void {
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) this.weights[bucket] = (this.weights[bucket] ?? 0) / 2
    this.total /= 2
  }
}

/** What is known of a run that may begin now. */
export interface RunOutlook {
  /** Time until the deadline, milliseconds. */
  readonly millisecondsLeft: number
  /** Forecast time until the run begins to respond, milliseconds; 0 when the durations of runs include it. */
  readonly forecastMilliseconds: number
  /** Size of the run in the units of work to which its durations refer: output tokens of a stream, 1 for a plain request. */
  readonly size: number
  /** Durations of earlier runs for each unit of work, milliseconds; undefined when none are known. */
  readonly durations: RunDurations | undefined
}

/**
 * Chance that a run does not end in time above which the run should not begin. A run that is cut off may be lost for good and wastes the
 * work of its endpoint, while a request that is refused loses the time of one retry, of which callers make few.
 */
const ACCEPTABLE_RISK = 0.1

/** @returns whether a run is likely to end before the deadline; undefined when too little is known of such runs */
export function endsInTime ({ millisecondsLeft, forecastMilliseconds, size, durations }: RunOutlook): boolean | undefined {
  const left = millisecondsLeft - forecastMilliseconds
  if (left <= 0) return false
  const risk = durations?.shareLongerThan(left / size)
  return risk === undefined ? undefined : risk <= ACCEPTABLE_RISK
}

function upperBound (bucket: number): number {
  return bucket === BUCKETS - 1 ? Infinity : FIRST_BOUND * BUCKET_RATIO ** bucket
}

function bucketOf (duration: number): number {
  const bucket = Math.ceil(Math.log(Math.max(duration, FIRST_BOUND) / FIRST_BOUND) / Math.log(BUCKET_RATIO))
  return Math.min(BUCKETS - 1, bucket)
}
