/**
 * Chooses the endpoint of a plain service: the one with the smallest share of its slots in use, and among equals one in the same data centre.
 * To the slots in use are added the constants below for distance, failures and errors.
 */
import type { ErrorRates, OutlierEjection } from '@limpetwinch/decisions'
import type { EndpointId } from '@limpetwinch/core'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { EndpointBackoffs } from '../rate-limits/endpoint-backoffs.js'
import type { Endpoint, ServiceName } from '../routes/configuration.js'
import type { EndpointWorkTracker } from './endpoint-work-tracker.js'

/** Slots that are added to the load of an endpoint in another data centre. Less than one, so they decide only between endpoints that are about equally loaded. */
const REMOTE_SLOTS = 0.6
/** Slots that are added to the load of an endpoint that has just failed or asked to back off. The addition falls to 0 over a recovery time. */
const PENALTY_SLOTS = 3
/** Slots that are added to the load of an endpoint that responds with errors more often than its peers, so that it is chosen last. */
const CONSPICUOUS_SLOTS = 12

/** Chooses endpoints of plain services by their load. */
export class ServiceRouter {
  private readonly directory: EndpointDirectory
  private readonly workTracker: EndpointWorkTracker
  private readonly ejection: OutlierEjection
  private readonly errors: ErrorRates
  private readonly backoffs: Pick<EndpointBackoffs, 'penalty'>
  private readonly dataCentre: string

  constructor (directory: EndpointDirectory, workTracker: EndpointWorkTracker, ejection: OutlierEjection, errors: ErrorRates, backoffs: Pick<EndpointBackoffs, 'penalty'>, dataCentre: string) {
    this.directory = directory
    this.workTracker = workTracker
    this.ejection = ejection
    this.errors = errors
    this.backoffs = backoffs
    this.dataCentre = dataCentre
  }

  /**
   * Chooses an endpoint for a request.
   *
   * @param service - the service
   * @param excluded - endpoints that must not be chosen, such as those that were attempted before
   * @param random - returns a number from 0 to 1, which decides between equally loaded endpoints
   * @param now - monotonic time
   * @returns the endpoint; undefined when there is none left
   */
  choose (service: ServiceName, excluded: ReadonlySet<EndpointId>, random: () => number, now: number): Endpoint | undefined {
    const all = this.directory.servable(service).map(({ id }) => id)
    let best: Endpoint | undefined
    let least = Infinity
    for (const entry of this.usable(service, excluded, now)) {
      const fullness = this.fullness(entry, all, now) + random() / (10 * entry.slots)
      if (fullness >= least) continue
      best = entry
      least = fullness
    }
    return best
  }

  /** @returns the endpoints that a request may be sent to: not excluded, and not ejected after failures unless most are */
  usable (service: ServiceName, excluded: ReadonlySet<EndpointId>, now: number): readonly Endpoint[] {
    const candidates = this.directory.servable(service)
      .filter((endpoint) => !excluded.has(endpoint.id))
      .map((endpoint) => ({ endpoint: endpoint.id, entry: endpoint }))
    return this.ejection.usable(candidates, now).map(({ entry }) => entry)
  }

  /** @returns ids of the endpoints of the service that are not among these */
  allExcept (service: ServiceName, endpoints: readonly Endpoint[]): ReadonlySet<EndpointId> {
    return new Set(this.directory.servable(service).filter((endpoint) => !endpoints.includes(endpoint)).map(({ id }) => id))
  }

  /** @returns an endpoint of the service; undefined when it may get no requests any more */
  find (service: ServiceName, id: EndpointId): Endpoint | undefined {
    return this.directory.servable(service).find((endpoint) => endpoint.id === id)
  }

  /** @returns the load of an endpoint as a share of its slots, with the additions for distance, failures and errors */
  private fullness (endpoint: Endpoint, all: readonly EndpointId[], now: number): number {
    const remote = endpoint.dataCentre === this.dataCentre ? 0 : REMOTE_SLOTS
    const penalty = PENALTY_SLOTS * Math.max(this.ejection.penalty(endpoint.id, now), this.backoffs.penalty(endpoint.id))
    const conspicuous = this.errors.isOutlier(endpoint.id, all) ? CONSPICUOUS_SLOTS : 0
    return (this.workTracker.outstanding(endpoint.id, now).requests + remote + penalty + conspicuous) / endpoint.slots
  }
}
