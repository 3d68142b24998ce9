/** How many requests a second an endpoint gets while it crashes when it has to refuse too many. */

/**
 * Part of the endpoint's capacity that is used. The rest takes up what varies: the durations of requests, and the room for waiting
 * requests, which the endpoint may take away.
 */
const USED_SHARE = 0.8
/**
 * Part of the rate that is given up for as many refusals as the endpoint bears in a second. With the recovery below, refusals come to rest
 * at about a sixth of what the endpoint bears, so that a chance group of them does not bring it down.
 */
const PART_FOR_ALL_REFUSALS = 0.3
/** Most of the rate that is given up for one refusal. */
const MOST_FOR_ONE = 0.5
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
    this.recover(now)
    const kept = 1 - Math.min(MOST_FOR_ONE, PART_FOR_ALL_REFUSALS / bearable)
    this.share = Math.max(LEAST_SHARE, this.share * kept ** count)
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
