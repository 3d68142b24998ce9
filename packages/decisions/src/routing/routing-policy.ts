import type { DataCentreId, EndpointId } from '@limpetwinch/core'

/** Router's view of an engine. Engine reports lag, so `sentSinceReport` counts the requests sent after the latest report. */
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
   * another team does not delay it. `queued` is used when this is absent.
   */
  readonly queuedBefore?: (team: string) => number
  /** Adapter loads that are waiting or running for this engine. */
  readonly pendingLoads: number
  /** @returns whether the adapter `team/adapter@version` is loaded or being loaded */
  readonly holds: (adapter: string) => 'loaded' | 'loading' | 'absent'
  /** @returns number of requests that the eviction for one more load is expected to stall: 0 with a free slot, Infinity if all are pinned */
  readonly evictionCost?: () => number
  /** @returns the share of the prompt that is probably in the engine's prefix cache, 0 to 1 */
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
  /** The team's recent service divided by its fair share of all teams' service; 1, the fair value, is used when this is absent. */
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
