/** The rate limits that endpoints under stress name in their responses. */
import type { EndpointId, Logger } from '@limpetwinch/core'

/**
 * A rate limit as one response states it: the requests a second that the endpoint accepts from all instances together; undefined when the
 * response names none, and `malformed` when the value cannot be read.
 */
export type StatedRateLimit = number | 'malformed' | undefined

/** The limit that each endpoint named in its latest response to this instance. */
export class NamedRateLimits {
  private readonly logger: Logger
  private readonly limits = new Map<EndpointId, number>()

  constructor (logger: Logger) {
    this.logger = logger
  }

  /** Number of endpoints that name a limit at present. */
  get count (): number {
    return this.limits.size
  }

  /** Records what a response of an endpoint states. A malformed value changes nothing, since it says neither a limit nor its end. */
  record (endpoint: EndpointId, stated: StatedRateLimit): void {
    const previous = this.limits.get(endpoint)
    if (stated === previous) return
    if (stated === 'malformed') return this.logger.debug('An endpoint named a rate limit that cannot be read.', { endpoint })
    if (stated === undefined) this.limits.delete(endpoint)
    else this.limits.set(endpoint, stated)
    if (stated === undefined) this.logger.info('An endpoint names no rate limit any more.', { endpoint, previous })
    else this.logger.info('An endpoint named a rate limit.', { endpoint, requestsPerSecond: stated, previous })
  }

  /** Drops an endpoint that has left or restarted. */
  forget (endpoint: EndpointId): void {
    this.limits.delete(endpoint)
  }
}
