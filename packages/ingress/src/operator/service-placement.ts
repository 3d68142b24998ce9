/** Explains which endpoint of a plain service a request would go to. */
import type { EndpointId } from '@limpetwinch/core'
import { AttemptRecord } from '../relay/attempt-record.js'
import { RETRY_AFTER_SECONDS } from '../relay/service-relay.js'
import type { Endpoint } from '../routes/configuration.js'
import { known, Placement } from './placement.js'
import type { Placed, PlacementSubject } from './placement.js'
import type { WhereCandidate } from './where-answer.js'

/** Between endpoints that are equally loaded, requests are spread at random; the explanation names the first of them. */
const NO_CHANCE = (): number => 0

/** The placement of requests on plain services. */
export class ServicePlacement extends Placement {
  override place ({ service, priority }: PlacementSubject, most: number, now: number): Placed {
    const { serviceRouter, rateLimiter, directory } = this.sources
    const choose = (excluded: ReadonlySet<EndpointId>): { readonly endpoint: Endpoint } | undefined => {
      const endpoint = serviceRouter.choose(service.name, excluded, NO_CHANCE, now)
      return endpoint === undefined ? undefined : { endpoint }
    }
    const chosen = this.ranked(choose, rateLimiter.withoutRoom(priority), most)
    const all = directory.servable(service.name).map(({ id }) => id)
    const candidates = chosen.map(({ endpoint }, rank) => this.candidate(endpoint, rank, all, now))
    const [first] = candidates
    if (first !== undefined) return { candidates, outcome: { kind: 'sent', endpoint: first.endpoint } }
    const error = rateLimiter.refusal(service.name, priority) ?? new AttemptRecord().finalError(RETRY_AFTER_SECONDS)
    return { candidates, outcome: this.refused(error) }
  }

  /** @param rank - position in the order of the router, which is the cost, since the router compares shares of different slots */
  private candidate ({ id, dataCentre, slots }: Endpoint, rank: number, all: readonly EndpointId[], now: number): WhereCandidate {
    const { workTracker, ejection, errors, rateLimiter } = this.sources
    return {
      endpoint: id,
      dataCentre,
      use: 'run',
      cost: rank,
      items: known({
        requests: workTracker.outstanding(id, now).requests,
        slots,
        penalty: Math.max(ejection.penalty(id, now), rateLimiter.backoffs.penalty(id)),
        'more errors than others': errors.isOutlier(id, all) ? 1 : 0,
        'rate limit': rateLimiter.limited.has(id) ? 1 : 0
      }),
      ages: known({ requests: workTracker.oldestReportMilliseconds(now) })
    }
  }
}
