/** The final word on a request that could not be answered: what is proved of it, and when to come back. */
import { LimpetwinchError } from '@limpetwinch/core'

/** What the tries of one request have shown so far. */
export class AttemptRecord {
  private mayHaveRun = false
  private lastReason = 'no endpoint is free'
  private lastEndpoint = ''

  /** Whether some endpoint may have begun with it. */
  get isOutcomeUnknown (): boolean {
    return this.mayHaveRun
  }

  /** A try proved that the endpoint did not run it. */
  notRun (endpoint: string, reason: string): void {
    this.lastEndpoint = endpoint
    this.lastReason = reason
  }

  /** A try was sent, and no proof came back. */
  unknown (endpoint: string, reason: string): void {
    this.mayHaveRun = true
    this.lastEndpoint = endpoint
    this.lastReason = reason
  }

  /**
   * @param retryAfterSeconds - when it is worth to come back
   * @returns the error to answer with; it says `not_run` only where that is proved
   */
  finalError (retryAfterSeconds: number): LimpetwinchError {
    if (this.mayHaveRun) return new LimpetwinchError('endpoint-failed', { endpoint: this.lastEndpoint, reason: this.lastReason })
    if (this.lastEndpoint === '') return new LimpetwinchError('no-endpoint', { reason: this.lastReason }, { retryAfterSeconds })
    return new LimpetwinchError('endpoint-refused', { endpoint: this.lastEndpoint, reason: this.lastReason }, { retryAfterSeconds })
  }

  /** @returns the error for a request whose time is over */
  timeoutError (retryAfterSeconds: number): LimpetwinchError {
    if (this.mayHaveRun) return new LimpetwinchError('deadline-passed')
    return new LimpetwinchError('no-endpoint', { reason: `${this.lastReason} within its time` }, { retryAfterSeconds })
  }
}
