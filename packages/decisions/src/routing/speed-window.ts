/** Combines the samples that several instances took of one engine into an estimate that single instances cannot distort. */

/** Number of latest samples that count. When the speed of an engine changes, the median follows after half as many new samples. */
const MAXIMUM_SAMPLES = 9
/** Samples of one instance that count, so that an instance with a slow link or frequent pauses does not determine the median. */
const MAXIMUM_SAMPLES_PER_INSTANCE = 3
/** Age at which a sample expires. An engine without newer samples is unknown again, so that it is measured anew. */
const SAMPLE_LIFETIME_MILLISECONDS = 20_000
/** Number of samples needed before there is an estimate. */
const MINIMUM_SAMPLES = 3

interface Sample {
  readonly instance: string
  readonly value: number
  readonly takenAt: number
}

/** Estimate from the samples of one quantity. */
export interface WindowEstimate {
  /** Median of the samples. */
  readonly value: number
  readonly samples: number
  /** Monotonic time of the latest sample, milliseconds. */
  readonly latestAt: number
}

/** The latest samples of one quantity of one engine. */
export class SpeedWindow {
  private samples: Sample[] = []

  /**
   * Adds a sample.
   *
   * @param instance - the instance that took the sample
   * @param now - monotonic time, milliseconds
   */
  add (instance: string, value: number, now: number): void {
    const kept = this.withoutExcess(instance)
    kept.push({ instance, value, takenAt: now })
    this.samples = kept.slice(-MAXIMUM_SAMPLES)
  }

  /** @returns the median of the samples that have not expired; undefined while there are too few */
  estimate (now: number): WindowEstimate | undefined {
    const samples = this.samples.filter(({ takenAt }) => now - takenAt < SAMPLE_LIFETIME_MILLISECONDS)
    const latest = samples.at(-1)
    if (latest === undefined || samples.length < MINIMUM_SAMPLES) return undefined
    return { value: median(samples.map(({ value }) => value)), samples: samples.length, latestAt: latest.takenAt }
  }

  /** @returns the samples without the oldest one of the instance, if one more would exceed the number that counts */
  private withoutExcess (instance: string): Sample[] {
    const own = this.samples.filter((sample) => sample.instance === instance)
    const excess = own.length < MAXIMUM_SAMPLES_PER_INSTANCE ? undefined : own[0]
    return this.samples.filter((sample) => sample !== excess)
  }
}

/** @returns the middle value; the lower one of two. @param values - at least one */
export function median (values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right)
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0
}
