/** How many requests a second an endpoint gets while it crashes when it has to refuse too many. */

/**
 * Part of the endpoint's capacity that is used. The rest takes up what varies: the durations of requests, and the room of the endpoint,
 * half of which it may take away without a word.
 */
const USED_SHARE = 0.6
/**
 * Part of the rate that is given up at the first refusal of a group, times the refusals that the endpoint bears in a second, and the most
 * that is given up. An endpoint may lose half of its room at once: the rate must be below what is left before the endpoint has refused as
 * many requests as it bears, and one refusal in a group is the first sign.
 */
const PART_FOR_GROUP = 4
const MOST_FOR_GROUP = 0.5
/** Time after the first refusal of a group in which others belong to it: they were on their way when the rate fell. */
const GROUP_MILLISECONDS = 250
/** Part of the rate that is given up for each further refusal of a group, times the refusals that the endpoint bears in a second. */
const PART_FOR_FURTHER = 0.3
/** Part of the full rate by which the rate rises again in a second without refusals. */
const RECOVERY_PER_SECOND = 0.05
/** Least part of the full rate; below it, nothing would show that the endpoint has room again. */
const LEAST_SHARE = 0.05
/** Weight of the newest duration in the mean. */
const DURATION_WEIGHT = 0.1
/** Duration that is assumed before any request has ended, in milliseconds. */
const ASSUMED_DURATION_MILLISECONDS = 200

/** Learns the rate at which an endpoint refuses hardly any request: falls quickly with refusals and rises slowly. */
export class BrittleThrottle {
  private durationMilliseconds: number | undefined
  private share = 1
  private updatedAt: number
  /** Monotonic time of the first refusal of the latest group. */
  private groupBeganAt = -Infinity

  /** @param now - monotonic time */
  constructor (now: number) {
    this.updatedAt = now
  }

  /** Mean duration of a request; undefined while none is known. */
  get meanMilliseconds (): number | undefined {
    return this.durationMilliseconds
  }

  /** Records the duration of a request, from this or another instance. */
  recordDuration (milliseconds: number): void {
    this.durationMilliseconds = (this.durationMilliseconds ?? milliseconds) * (1 - DURATION_WEIGHT) + milliseconds * DURATION_WEIGHT
  }

  /**
   * Records that the endpoint refused requests for want of room.
   *
   * @param bearable - refusals in a second that the endpoint bears
   */
  recordRefusals (count: number, bearable: number, now: number): void {
    if (count === 0) return
    this.recover(now)
    const isNewGroup = now - this.groupBeganAt >= GROUP_MILLISECONDS
    if (isNewGroup) this.groupBeganAt = now
    const keptByGroup = isNewGroup ? keptPart(PART_FOR_GROUP / bearable) : 1
    const further = isNewGroup ? count - 1 : count
    this.share = Math.max(LEAST_SHARE, this.share * keptByGroup * keptPart(PART_FOR_FURTHER / bearable) ** further)
  }

  /**
   * @param slots - requests that the endpoint runs at one time
   * @param now - monotonic time
   * @returns requests a second over all instances
   */
  ratePerSecond (slots: number, now: number): number {
    this.recover(now)
    return this.share * USED_SHARE * slots * 1_000 / Math.max(1, this.durationMilliseconds ?? ASSUMED_DURATION_MILLISECONDS)
  }

  private recover (now: number): void {
    this.share = Math.min(1, this.share + Math.max(0, now - this.updatedAt) / 1_000 * RECOVERY_PER_SECOND)
    this.updatedAt = Math.max(now, this.updatedAt)
  }
}

function keptPart (givenUp: number): number {
  return 1 - Math.min(MOST_FOR_GROUP, givenUp)
}
