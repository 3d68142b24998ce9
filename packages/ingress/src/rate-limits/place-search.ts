/** The search of one request for an endpoint whose rate limit has a place for it. */
import type { EndpointId } from '@limpetwinch/core'
import type { EndpointRateLimiter } from './endpoint-rate-limiter.js'

const NONE: ReadonlySet<EndpointId> = new Set()

/** Asks each endpoint with a limit at most once until the request has waited, so that a search over many full endpoints ends. */
export class PlaceSearch {
  private readonly limiter: EndpointRateLimiter
  private readonly priority: number
  private readonly taken = new Set<EndpointId>()
  private readonly refused = new Set<EndpointId>()

  /**
   * @param limiter - the rate limits
   * @param priority - priority of the request, 0 being the most urgent
   */
  constructor (limiter: EndpointRateLimiter, priority: number) {
    this.limiter = limiter
    this.priority = priority
  }

  /** Whether the request has taken a place at an endpoint, which may not be able to serve it yet. */
  get hasPlace (): boolean {
    return this.taken.size > 0
  }

  /** Endpoints without room for the request. */
  get full (): ReadonlySet<EndpointId> {
    const full = this.limiter.withoutRoom(this.priority)
    if (full.size === 0 && this.refused.size === 0) return NONE
    const { backoffs } = this.limiter
    return new Set([...full, ...this.refused].filter((endpoint) => !this.taken.has(endpoint) || backoffs.isBackingOff(endpoint)))
  }

  /** Takes a place for the request unless it has one there already. @returns whether the endpoint may get the request */
  async take (endpoint: EndpointId): Promise<boolean> {
    if (this.limiter.backoffs.isBackingOff(endpoint)) return false
    if (this.taken.has(endpoint)) return true
    if (!this.limiter.isLimited(endpoint)) return true
    if (await this.limiter.admit(endpoint, this.priority)) {
      this.taken.add(endpoint)
      return true
    }
    this.refused.add(endpoint)
    return false
  }

  /** Lets endpoints be asked again that had no room, after the request has waited. */
  waited (): void {
    this.refused.clear()
  }
}
