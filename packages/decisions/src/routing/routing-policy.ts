/** Where a request goes. */
import type { DataCentreId, EndpointId } from '@limpetwinch/core'

/** An engine as the router sees it; reports lag, so `sentSince` counts what was sent after the newest one. */
export interface EndpointView {
  readonly endpoint: EndpointId
  readonly dataCentre: DataCentreId
  /** One way, milliseconds. */
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
   * @returns queued requests that would be served before one of this team: under fair queueing a long queue of another
   *   team is not in its way. `queued` is taken when absent
   */
  readonly queuedBefore?: (team: string) => number
  /** Loads that wait or run for this engine. */
  readonly pendingLoads: number
  /** @returns whether the adapter `team/adapter@version` is loaded, or its load is under way */
  readonly holds: (adapter: string) => 'loaded' | 'loading' | 'absent'
  /** @returns requests expected to stall by the eviction that another load needs: 0 with a free slot, Infinity when all are pinned */
  readonly evictionCost?: () => number
  /** @returns the share of the prompt whose prefix is likely cached, 0 to 1 */
  readonly cachedShare: (prompt: string) => number
}

/** What is to be routed. */
export interface RoutingRequest {
  /** `team/adapter@version`, or undefined for the base model alone. */
  readonly adapter: string | undefined
  readonly team: string
  readonly baseModel: string
  readonly prompt: string
  readonly promptTokens: number
  readonly maximumTokens: number
  readonly priority: number
  /** The team's recent service over its share of all teams' service; 1 is fair, and taken when absent. */
  readonly shareUsed?: number
  /** Endpoints that this request has already failed on. */
  readonly avoid: ReadonlySet<EndpointId>
}

/** Chooses an endpoint for each request. */
export abstract class RoutingPolicy {
  /**
   * @param question - the request
   * @param endpoints - all engines that could be asked; leaving ones and ones of another base model among them
   * @param now - monotonic milliseconds
   * @returns the endpoint to ask, or undefined when none may take it
   */
  abstract choose (question: RoutingRequest, endpoints: readonly EndpointView[], now: number): EndpointId | undefined

  /** Tells how an attempt ended, for ejection of endpoints that fail and their gentle return. */
  abstract observe (endpoint: EndpointId, result: 'answered' | 'failed', now: number): void
}
