/** Searches for the endpoint of each attempt of a request to a plain service: with a place there, where places are divided, and within its limits. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EndpointId } from '@limpetwinch/core'
import type { PlaceEnd } from '@limpetwinch/decisions'
import type { ServicePlaces } from '../places/service-places.js'
import type { EndpointRateLimiter } from '../rate-limits/endpoint-rate-limiter.js'
import { PlaceSearch } from '../rate-limits/place-search.js'
import type { RetryBudgets } from '../retries/retry-budgets.js'
import type { Endpoint } from '../routes/configuration.js'
import type { ServiceRouter } from '../routing/service-router.js'
import type { RoutedRequest } from './routed-request.js'

/** What the search depends on. */
export interface ServiceEndpointSearchDependencies {
  readonly clock: Clock
  readonly router: ServiceRouter
  readonly budgets: RetryBudgets
  readonly rateLimiter: EndpointRateLimiter
  readonly places: Pick<ServicePlaces, 'isDivided' | 'take'>
  readonly random: () => number
}

/** An endpoint for one attempt. */
export interface FoundEndpoint {
  readonly endpoint: Endpoint
  /** Must be called at the end of the attempt. @param milliseconds - time from the sending of the request to the end of its answer */
  readonly giveBack: (end: PlaceEnd, milliseconds: number) => void
}

/** The endpoints that an attempt must not go to, and whether it is a retry. */
export interface AttemptHistory {
  /** Endpoints that the request was sent to before. */
  readonly attempted: ReadonlySet<EndpointId>
  /** Endpoints that the quarantine excludes. */
  readonly avoided: ReadonlySet<EndpointId>
  /** Whether an endpoint may have received the request before. */
  readonly wasSent: boolean
}

/** Finds endpoints for the attempts of requests. */
export class ServiceEndpointSearch {
  private readonly parts: ServiceEndpointSearchDependencies

  constructor (parts: ServiceEndpointSearchDependencies) {
    this.parts = parts
  }

  /**
   * Finds the endpoint of the next attempt. A request that was sent before takes a retry from the retry budget of the service; an
   * attempt that found no connection reached no endpoint and is no retry.
   *
   * @returns the endpoint; undefined when there is none or the retry budget is used up; the error `places-taken` when none is free in time
   */
  async next (request: RoutedRequest, { attempted, avoided, wasSent }: AttemptHistory): Promise<FoundEndpoint | LimpetwinchError | undefined> {
    const { clock, budgets, rateLimiter } = this.parts
    const { service, facts, priority, signal } = request
    const limits = new PlaceSearch(rateLimiter, priority)
    let isBudgeted = !wasSent
    while (!signal.aborted) {
      const found = await this.choose(request, union(attempted, avoided, limits.full))
      if (found === undefined || found instanceof LimpetwinchError) return found
      isBudgeted ||= budgets.tryRetry({ service: service.name, requestId: facts.requestId, tries: attempted.size }, clock.now())
      if (isBudgeted && await limits.take(found.endpoint.id)) return found
      found.giveBack('abandoned', 0)
      if (!isBudgeted) return undefined
    }
    return undefined
  }

  private async choose (request: RoutedRequest, excluded: ReadonlySet<EndpointId>): Promise<FoundEndpoint | LimpetwinchError | undefined> {
    const { clock, router, random, places } = this.parts
    const { name } = request.service
    if (places.isDivided(name)) return await this.takePlace(request, excluded)
    const endpoint = router.choose(name, excluded, random, clock.now())
    return endpoint === undefined ? undefined : { endpoint, giveBack: () => {} }
  }

  private async takePlace ({ service: { name }, route, priority, arrivedAt, endsAt, signal }: RoutedRequest, excluded: ReadonlySet<EndpointId>): Promise<FoundEndpoint | LimpetwinchError | undefined> {
    const { clock, router, places } = this.parts
    const usable = router.usable(name, excluded, clock.now())
    if (usable.length === 0) return undefined
    const place = await places.take({
      service: name, priority, excluded: router.allExcept(name, usable), onTimeAt: arrivedAt + route.objectiveMilliseconds, endsAt, signal
    })
    // A request that ended while it waited gets the error of its end, not that of the places.
    if (place instanceof LimpetwinchError) return signal.aborted ? undefined : place
    const endpoint = router.find(name, place.endpoint)
    if (endpoint !== undefined && !signal.aborted) return { endpoint, giveBack: place.giveBack }
    place.giveBack('abandoned', 0)
    return undefined
  }
}

/** @returns the members of all sets */
function union (first: ReadonlySet<EndpointId>, ...others: readonly ReadonlySet<EndpointId>[]): ReadonlySet<EndpointId> {
  return others.every((other) => other.size === 0) ? first : new Set([first, ...others].flatMap((members) => [...members]))
}
