/** The rate limits that endpoints under stress name in their responses. */
import type { EndpointId, RateLimitFrame } from '@limpetwinch/core'
import type { ResponseFacts } from '../relay/request-codec.js'
import { StatedLimits } from './stated-limits.js'
import type { StatedLimitFrame } from './stated-limits.js'
import type { StatedRateLimit } from './stated-rate-limit.js'

/** The rate limits of all endpoints that name one, in requests a second over all instances. */
export class NamedRateLimits extends StatedLimits<RateLimitFrame> {
  protected override limitOf ({ rateLimit }: ResponseFacts): StatedRateLimit {
    return rateLimit
  }

  protected override toFrame (fields: StatedLimitFrame): RateLimitFrame {
    return { kind: 'rate-limit', ...fields }
  }

  protected override logChange (endpoint: EndpointId, requestsPerSecond: number | undefined, previous: number | undefined, source: 'response' | 'peer'): void {
    const { logger } = this.parts
    if (requestsPerSecond === undefined) logger.info('An endpoint names no rate limit any more.', { endpoint, previous, source })
    else if (previous === undefined) logger.info('An endpoint named a rate limit.', { endpoint, requestsPerSecond, source })
    else logger.debug('An endpoint named another rate limit.', { endpoint, requestsPerSecond, previous, source })
  }

  protected override logMalformed (endpoint: EndpointId): void {
    this.parts.logger.debug('An endpoint named a rate limit that cannot be read.', { endpoint })
  }
}
