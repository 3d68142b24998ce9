/** The requests of this instance that each endpoint may be running, or that wait for admission to the endpoint. */
import type { EndpointId, FencingToken, LoadedName, RequestId } from '@limpetwinch/core'

/** One request at one endpoint. */
export interface InFlight {
  readonly requestId: RequestId
  readonly team: string
  /** The name under which the engine holds the adapter; undefined before admission and for a request without an adapter. */
  loadedName: LoadedName | undefined
}

/**
 * Tells a new owner of an endpoint which requests may be running there, and rejects grants of earlier owners.
 *
 * A request is entered before admission is requested, not when it is granted. Otherwise a new owner could query the table
 * in between, find no use of the adapter, and evict the adapter while the request uses it.
 */
export class InFlightTable {
  private readonly byEndpoint = new Map<EndpointId, Map<RequestId, InFlight>>()
  private readonly lowestTokens = new Map<EndpointId, FencingToken>()

  /** Enters a request for which admission is about to be requested. */
  enter (endpoint: EndpointId, requestId: RequestId, team: string): InFlight {
    const entry: InFlight = { requestId, team, loadedName: undefined }
    const requests = this.byEndpoint.get(endpoint) ?? new Map()
    requests.set(requestId, entry)
    this.byEndpoint.set(endpoint, requests)
    return entry
  }

  /** Removes a request once the endpoint certainly does not run it any more. */
  leave (endpoint: EndpointId, requestId: RequestId): void {
    const requests = this.byEndpoint.get(endpoint)
    requests?.delete(requestId)
    if (requests?.size === 0) this.byEndpoint.delete(endpoint)
  }

  /** @returns whether a grant with this token may be used */
  accepts (endpoint: EndpointId, token: FencingToken): boolean {
    return token >= (this.lowestTokens.get(endpoint) ?? 0)
  }

  /**
   * Rejects grants with older tokens from now on. Called when a new owner of the endpoint queries the requests.
   *
   * @returns all requests that may be running at the endpoint
   */
  raiseLowestToken (endpoint: EndpointId, token: FencingToken): readonly InFlight[] {
    if (this.accepts(endpoint, token)) this.lowestTokens.set(endpoint, token)
    return this.at(endpoint)
  }

  /** @returns all requests that may be running at an endpoint */
  at (endpoint: EndpointId): readonly InFlight[] {
    return [...(this.byEndpoint.get(endpoint)?.values() ?? [])]
  }

  /** Number of requests in flight at all endpoints. */
  get size (): number {
    let size = 0
    for (const requests of this.byEndpoint.values()) size += requests.size
    return size
  }
}
