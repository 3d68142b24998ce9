/** Contract of the policies that choose an endpoint for each request. */
import type { DataCentreId, EndpointId } from '@limpetwinch/core'

/**
 * An engine as the router sees it. The reports of an engine are delayed, so `sentSinceReport` counts the requests sent to the
 * engine after its latest report.
 */
export interface EndpointView {
  readonly endpoint: EndpointId
  readonly dataCentre: DataCentreId
  /** One-way network delay, milliseconds. */
  readonly oneWayMilliseconds: number
  readonly baseModel: string
  readonly role: string
  readonly queued: number
  readonly running: number
  readonly sentSinceReport: number
  readonly slots: number
  readonly pinnedSlots: number
  readonly batchCapacity: number
  readonly leaving: boolean
  /**
   * Number of queued requests that would be served before a new request of the team. Under fair queueing, a long queue of
   * another team does not delay the request. `queued` is used when this is absent.
   */
  readonly queuedBefore?: (team: string) => number
  /** Number of adapter loads that are waiting or running for this engine. */
  readonly pendingLoads: number
  /** @returns whether the adapter `team/adapter@version` is loaded or being loaded */
  readonly holds: (adapter: string) => 'loaded' | 'loading' | 'absent'
  /** @returns number of requests that the eviction for one more load is expected to stall: 0 with a free slot, Infinity if all are pinned */
  readonly evictionCost?: () => number
  /** @returns the fraction of the prompt that is probably in the engine's prefix cache, 0 to 1 */
  readonly cachedShare: (prompt: string) => number
}

/** Request to be routed. */
export interface RoutingRequest {
  /** `team/adapter@version`, or undefined for the base model alone. */
  readonly adapter: string | undefined
  readonly team: string
  readonly baseModel: string
  readonly prompt: string
  readonly promptTokens: number
  readonly maximumTokens: number
  readonly priority: number
  /** The team's recent service in tokens, divided by its fair share of all teams' service. If absent, the fair value 1 is used. */
  readonly shareUsed?: number
  /** Endpoints on which this request has already failed. */
  readonly avoid: ReadonlySet<EndpointId>
}

/** Chooses an endpoint for each request. */
export abstract class RoutingPolicy {
  /**
   * @param request - the request to be routed
   * @param endpoints - all known engines, including those that are leaving or serve another base model
   * @param now - monotonic milliseconds
   * @returns the endpoint to send the request to, or undefined when none can serve it
   */
  abstract choose (request: RoutingRequest, endpoints: readonly EndpointView[], now: number): EndpointId | undefined

  /** Records the result of an attempt, used to eject failing endpoints and to penalise them after their return. */
  abstract observe (endpoint: EndpointId, result: 'answered' | 'failed', now: number): void
}
