/**
 * Summary of all attempts of one request: whether an endpoint may have begun to run the request, and why the last attempt failed. From this
 * summary follows the error for a request that could not be answered. The error tells the caller whether the request may have run.
 */
import { LimpetwinchError } from '@limpetwinch/core'

/** What the failed attempts of one request have shown so far. */
export class AttemptRecord {
  private mayHaveRun = false
  private lastReason = 'no endpoint is free'
  private lastEndpoint = ''

  /** Whether an endpoint may have begun to run the request. */
  get isOutcomeUnknown (): boolean {
    return this.mayHaveRun
  }

  /** Records an attempt that proved that the endpoint did not run the request. */
  notRun (endpoint: string, reason: string): void {
    this.lastEndpoint = endpoint
    this.lastReason = reason
  }

  /** Records an attempt that was sent without a proof that the endpoint did not run the request. */
  unknown (endpoint: string, reason: string): void {
    this.mayHaveRun = true
    this.lastEndpoint = endpoint
    this.lastReason = reason
  }

  /**
   * @param retryAfterSeconds - time after which a retry is likely to succeed
   * @returns the error to respond with; its outcome is `not_run` only if all attempts proved that the request did not run
   */
  finalError (retryAfterSeconds: number): LimpetwinchError {
    if (this.mayHaveRun) return new LimpetwinchError('endpoint-failed', { endpoint: this.lastEndpoint, reason: this.lastReason })
    if (this.lastEndpoint === '') return new LimpetwinchError('no-endpoint', { reason: this.lastReason }, { retryAfterSeconds })
    return new LimpetwinchError('endpoint-refused', { endpoint: this.lastEndpoint, reason: this.lastReason }, { retryAfterSeconds })
  }

  /**
   * @param signal - the signal that ended the request; its reason is an error when the request did not time out
   * @returns the error for a request that was ended
   */
  endedError (signal: AbortSignal, retryAfterSeconds: number): LimpetwinchError {
    if (signal.reason instanceof LimpetwinchError) return this.mayHaveRun ? this.finalError(retryAfterSeconds) : signal.reason
    if (this.mayHaveRun) return new LimpetwinchError('deadline-passed')
    return new LimpetwinchError('no-endpoint', { reason: `${this.lastReason} within its time` }, { retryAfterSeconds })
  }
}
