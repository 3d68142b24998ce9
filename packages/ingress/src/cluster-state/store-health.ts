/** Tracks whether the platform's store responds and when its last outage ended. */
import type { Logger } from '@limpetwinch/core'

/**
 * Time after the end of a store outage in which entries that lapsed during the outage may be written again. By the end of this
 * time each such entry is listed again or counts as removed.
 */
const RECOVERY_MILLISECONDS = 3_000
/** A single call may fail on its own: failures count as an outage only when no call got a response for at least this long. */
const MINIMUM_OUTAGE_MILLISECONDS = 1_000
/**
 * Shortest outage in which entries lapse: endpoints renew them more often than that. An instance that has known all endpoints up to a more recent
 * moment, from peers, was refused by the store alone.
 */
const SHORTEST_LAPSE_MILLISECONDS = 2_000

/** Records the outcome of each call by which this instance reads the store. */
export class StoreHealth {
  private readonly logger: Logger
  private readonly endpointsAgeMilliseconds: () => number
  private lastResponseAt = -Infinity
  private failingSince: number | undefined
  private outageEndedAt = -Infinity

  /**
   * @param logger - receives a line when calls begin to fail and when an outage ends
   * @param endpointsAgeMilliseconds - returns the time since this instance last provably knew all endpoints
   */
  constructor (logger: Logger, endpointsAgeMilliseconds: () => number = () => Infinity) {
    this.logger = logger
    this.endpointsAgeMilliseconds = endpointsAgeMilliseconds
  }

  /** Whether the latest call got a response. */
  get reachable (): boolean {
    return this.failingSince === undefined && this.lastResponseAt > -Infinity
  }

  /** Records a call that got a response. */
  answered (now: number): void {
    if (this.failingSince !== undefined && now - this.lastResponseAt >= MINIMUM_OUTAGE_MILLISECONDS) {
      const answeredOthers = this.endpointsAgeMilliseconds() < SHORTEST_LAPSE_MILLISECONDS
      // Entries that are missing then have been removed, and have not lapsed.
      if (!answeredOthers) this.outageEndedAt = now
      this.logger.warn('The store answers again.', { outageMilliseconds: Math.round(now - this.failingSince), answeredOthers })
    }
    this.failingSince = undefined
    this.lastResponseAt = now
  }

  /** Records a failed call. */
  failed (reason: string, now: number): void {
    if (this.failingSince !== undefined) return
    this.failingSince = now
    this.logger.warn('The store does not answer.', { reason, lastAnswerMillisecondsAgo: ageOf(this.lastResponseAt, now) })
  }

  /** @returns monotonic time at which the latest outage ended, while entries that lapsed during the outage may return; otherwise undefined */
  recentOutageEnd (now: number): number | undefined {
    return now - this.outageEndedAt < RECOVERY_MILLISECONDS ? this.outageEndedAt : undefined
  }

  /** @returns milliseconds since the latest response; Infinity before the first one */
  millisecondsSinceAnswer (now: number): number {
    return now - this.lastResponseAt
  }
}

function ageOf (time: number, now: number): number | undefined {
  return time === -Infinity ? undefined : Math.round(now - time)
}
