/** Picks the endpoint of a plain service: the one with the most room, the near one among equals. */
import type { ErrorRates, OutlierEjection } from '@limpetwinch/decisions'
import type { EndpointId } from '@limpetwinch/core'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { Endpoint, ServiceName } from '../routes/configuration.js'
import type { EndpointWorkTracker } from './endpoint-work-tracker.js'

/** Part of a slot that nearness is worth: an endpoint elsewhere is taken when it has that much more room. */
const REMOTE_SLOTS = 0.6
/** Slots by which an endpoint that has just failed seems fuller. */
const PENALTY_SLOTS = 3
/** Slots by which one seems fuller that answers with errors more often than its peers: it is the last to be taken. */
const CONSPICUOUS_SLOTS = 12

/** Chooses endpoints of plain services. */
export class ServiceRouter {
  private readonly directory: EndpointDirectory
  private readonly board: EndpointWorkTracker
  private readonly ejection: OutlierEjection
  private readonly errors: ErrorRates
  private readonly dataCentre: string

  constructor (directory: EndpointDirectory, board: EndpointWorkTracker, ejection: OutlierEjection, errors: ErrorRates, dataCentre: string) {
    this.directory = directory
    this.board = board
    this.ejection = ejection
    this.errors = errors
    this.dataCentre = dataCentre
  }

  /**
   * @param service - whose endpoints
   * @param excluded - endpoints tried before
   * @param random - uniform in 0 to 1, to tell equals apart
   * @returns the endpoint, or undefined when there is none left
   */
  choose (service: ServiceName, excluded: ReadonlySet<EndpointId>, random: () => number, now: number): Endpoint | undefined {
    const all = this.directory.servable(service).map(({ id }) => id)
    const candidates = this.directory.servable(service)
      .filter((endpoint) => !excluded.has(endpoint.id))
      .map((endpoint) => ({ endpoint: endpoint.id, entry: endpoint }))
    let best: Endpoint | undefined
    let least = Infinity
    for (const { entry } of this.ejection.usable(candidates, now)) {
      const fullness = this.fullness(entry, all, now) + random() / (10 * entry.slots)
      if (fullness >= least) continue
      best = entry
      least = fullness
    }
    return best
  }

  private fullness (endpoint: Endpoint, all: readonly EndpointId[], now: number): number {
    const remote = endpoint.dataCentre === this.dataCentre ? 0 : REMOTE_SLOTS
    const penalty = PENALTY_SLOTS * this.ejection.penalty(endpoint.id, now)
    const conspicuous = this.errors.isOutlier(endpoint.id, all) ? CONSPICUOUS_SLOTS : 0
    return (this.board.outstanding(endpoint.id, now).requests + remote + penalty + conspicuous) / endpoint.slots
  }
}
