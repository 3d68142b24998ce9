/** The attempts in flight, to notice when nothing is heard from any endpoint. */
import type { EndpointId } from '@limpetwinch/core'

/**
 * Time without any bytes from any endpoint, while an attempt waits for its response, after which the path of that attempt is checked, in
 * milliseconds. An instance that serves several requests hears from some endpoint far more often.
 */
const SILENCE_MILLISECONDS = 300

interface UnansweredAttempt {
  readonly endpoint: EndpointId
  readonly sentAt: number
}

/** The attempts that have not ended, the earliest first. */
export class UnansweredAttempts {
  private readonly attempts = new Set<UnansweredAttempt>()

  /** Adds an attempt. @returns its end, to be called once */
  begin (endpoint: EndpointId, sentAt: number): { readonly ended: () => void } {
    const attempt = { endpoint, sentAt }
    this.attempts.add(attempt)
    return { ended: () => { this.attempts.delete(attempt) } }
  }

  /**
   * @param latestContactAt - monotonic time at which any endpoint last sent something
   * @returns the endpoint of the earliest attempt, if it has waited for some time and no endpoint has sent anything meanwhile; else undefined
   */
  silentEndpoint (latestContactAt: number, now: number): EndpointId | undefined {
    if (now - latestContactAt < SILENCE_MILLISECONDS) return undefined
    const [earliest] = this.attempts
    return earliest !== undefined && now - earliest.sentAt >= SILENCE_MILLISECONDS ? earliest.endpoint : undefined
  }
}
