/** Whether the platform's store answers, and when it came back. */
import type { Logger } from '@limpetwinch/core'

/** An outage is over for good when this has passed since its end; entries that lapsed in it are back or gone by then. */
const AFTERMATH_MILLISECONDS = 3_000
/** One call may fail by itself; an outage is said when nothing was answered for so long. */
const OUTAGE_AFTER_MILLISECONDS = 1_000

/** Followed by every reader of the store. */
export class StoreHealth {
  private readonly logger: Logger
  private lastAnswerAt = -Infinity
  private failingSince: number | undefined
  private endedAt = -Infinity

  /** @param logger - hears of outages */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** Whether the last calls were answered. */
  get reachable (): boolean {
    return this.failingSince === undefined && this.lastAnswerAt > -Infinity
  }

  /** A call was answered. */
  answered (now: number): void {
    if (this.failingSince !== undefined && now - this.lastAnswerAt >= OUTAGE_AFTER_MILLISECONDS) {
      this.endedAt = now
      this.logger.warn('The store answers again.', { outageMilliseconds: Math.round(now - this.failingSince) })
    }
    this.failingSince = undefined
    this.lastAnswerAt = now
  }

  /** A call failed. */
  failed (reason: string, now: number): void {
    if (this.failingSince !== undefined) return
    this.failingSince = now
    this.logger.warn('The store does not answer.', { reason, lastAnswerMillisecondsAgo: ageOf(this.lastAnswerAt, now) })
  }

  /** @returns when an outage ended whose aftermath is not over; undefined at all other times */
  recentOutageEnd (now: number): number | undefined {
    return now - this.endedAt < AFTERMATH_MILLISECONDS ? this.endedAt : undefined
  }

  /** @returns milliseconds since the last answer; Infinity before the first */
  millisecondsSinceAnswer (now: number): number {
    return now - this.lastAnswerAt
  }
}

function ageOf (time: number, now: number): number | undefined {
  return time === -Infinity ? undefined : Math.round(now - time)
}
