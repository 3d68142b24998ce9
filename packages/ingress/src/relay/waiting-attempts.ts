/** The attempts of this instance that no engine has begun to answer yet: how long they have waited. */
import type { EndpointId } from '@limpetwinch/core'

/** The attempts that wait, by endpoint, in the order of their sends. */
export class WaitingAttempts {
  private readonly byEndpoint = new Map<EndpointId, Set<{ readonly sentAt: number }>>()

  /** Adds an attempt. @returns its end, to be called when the engine has begun to answer and when the attempt has ended */
  begin (endpoint: EndpointId, sentAt: number): () => void {
    const attempt = { sentAt }
    const attempts = this.byEndpoint.get(endpoint) ?? new Set()
    this.byEndpoint.set(endpoint, attempts.add(attempt))
    return () => {
      attempts.delete(attempt)
      if (attempts.size === 0 && this.byEndpoint.get(endpoint) === attempts) this.byEndpoint.delete(endpoint)
    }
  }

  /** @returns milliseconds for which the attempt that waits longest at the endpoint has waited; 0 when none waits */
  longestWait (endpoint: EndpointId, now: number): number {
    const [first] = this.byEndpoint.get(endpoint) ?? []
    return first === undefined ? 0 : now - first.sentAt
  }
}
