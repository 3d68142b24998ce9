/** Base of the explanations where a request would go: one for engines, one for plain services. They read the state of the instance and change nothing. */
import type { Clock, EndpointId } from '@limpetwinch/core'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { ErrorRates, OutlierEjection } from '@limpetwinch/decisions'
import type { EngineFinder } from '../adapters/engine-finder.js'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { EngineFigures } from '../engine-figures/engine-figures.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { EndpointRateLimiter } from '../rate-limits/endpoint-rate-limiter.js'
import type { EngineRouter } from '../routing/engine-router.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { PrefixCacheEstimate } from '../routing/prefix-cache-estimate.js'
import type { ServiceRouter } from '../routing/service-router.js'
import type { WhereCandidate, WhereOutcome } from './where-answer.js'
import type { WhereSubject } from './where-section.js'

/** The components that are read. */
export interface PlacementSources {
  readonly clock: Clock
  readonly directory: Pick<EndpointDirectory, 'servable' | 'find'>
  readonly router: Pick<EngineRouter, 'choose' | 'chooseForLoad'>
  readonly serviceRouter: Pick<ServiceRouter, 'choose'>
  readonly engineFinder: Pick<EngineFinder, 'retryAfterSeconds'>
  readonly rateLimiter: Pick<EndpointRateLimiter, 'withoutRoom' | 'refusal' | 'millisecondsUntilRoom' | 'limited' | 'backoffs'>
  readonly locations: Pick<AdapterLocations, 'line' | 'holders'>
  readonly workTracker: Pick<EndpointWorkTracker, 'outstanding' | 'oldestReportMilliseconds'>
  readonly prefixes: Pick<PrefixCacheEstimate, 'cachedTokens'>
  readonly figures: Pick<EngineFigures, 'figureOf'>
  readonly ejection: Pick<OutlierEjection, 'isEjected' | 'penalty'>
  readonly errors: Pick<ErrorRates, 'isOutlier'>
  readonly loadMilliseconds: () => number
}

/** What would become of a request, and the candidates that were compared. */
export interface Placed {
  readonly outcome: WhereOutcome
  readonly candidates: readonly WhereCandidate[]
}

/** Subject of an explanation, without the candidates that the explanation finds. */
export type PlacementSubject = Omit<WhereSubject, 'endpoints'>

/** Explains the choice for one kind of service. */
export abstract class Placement {
  protected readonly sources: PlacementSources

  constructor (sources: PlacementSources) {
    this.sources = sources
  }

  /** @returns what would become of the request. @param most - most candidates that are listed */
  abstract place (subject: PlacementSubject, most: number, now: number): Placed

  /** @returns endpoints of the service that get no such request now, by the reason */
  unused ({ service, priority }: PlacementSubject, now: number): Record<string, readonly EndpointId[]> {
    const { directory, ejection, rateLimiter } = this.sources
    const ids = directory.servable(service.name).map(({ id }) => id)
    const backingOff = rateLimiter.backoffs.backingOff()
    const withoutRoom = rateLimiter.withoutRoom(priority)
    const reasons = {
      ejected: ids.filter((id) => ejection.isEjected(id, now)),
      'backing off': ids.filter((id) => backingOff.has(id)),
      'rate limit reached': ids.filter((id) => withoutRoom.has(id) && !backingOff.has(id))
    }
    return Object.fromEntries(Object.entries(reasons).filter(([, endpoints]) => endpoints.length > 0))
  }

  /**
   * Lists candidates in the order in which the router would choose them.
   *
   * @param choose - returns the router's choice among the endpoints that are not excluded
   * @param excluded - endpoints that must not be chosen
   */
  protected ranked<Choice extends { readonly endpoint: { readonly id: EndpointId } }> (choose: (excluded: ReadonlySet<EndpointId>) => Choice | undefined, excluded: ReadonlySet<EndpointId>, most: number): Choice[] {
    const passed = new Set(excluded)
    const choices: Choice[] = []
    while (choices.length < most) {
      const choice = choose(passed)
      if (choice === undefined) break
      choices.push(choice)
      passed.add(choice.endpoint.id)
    }
    return choices
  }

  /** @returns the outcome of a request that is refused with this error */
  protected refused (error: LimpetwinchError, afterMilliseconds = 0): WhereOutcome {
    return { kind: 'refused', error: error.code, status: error.status, message: error.message, afterMilliseconds: Math.round(afterMilliseconds), retryAfterSeconds: error.retryAfterSeconds }
  }
}

/** @returns the numbers that are known, rounded to two decimals */
export function known (values: Readonly<Record<string, number | undefined>>): Record<string, number> {
  return Object.fromEntries(Object.entries(values).flatMap(([name, value]) => value === undefined ? [] : [[name, Math.round(value * 100) / 100]]))
}
