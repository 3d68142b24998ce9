/** The requests of this instance that an endpoint may be running, or may be asked to run. */
import type { EndpointId, FencingToken, LoadedName, RequestId } from '@limpetwinch/core'

/** One request at one endpoint. */
export interface InFlight {
  readonly requestId: RequestId
  readonly team: string
  loadedName: LoadedName | undefined
}

/**
 * Tells new owners what runs, and refuses grants of the owners before them.
 *
 * A request is entered before its admission is asked, not when it is granted: otherwise a new owner could ask in the
 * instant between, hear of no use of the adapter, and evict it under the request.
 */
export class InFlightTable {
  private readonly byEndpoint = new Map<EndpointId, Map<RequestId, InFlight>>()
  private readonly lowestTokens = new Map<EndpointId, FencingToken>()

  /** Enters a request that is about to ask for admission. */
  enter (endpoint: EndpointId, requestId: RequestId, team: string): InFlight {
    const entry: InFlight = { requestId, team, loadedName: undefined }
    const requests = this.byEndpoint.get(endpoint) ?? new Map()
    requests.set(requestId, entry)
    this.byEndpoint.set(endpoint, requests)
    return entry
  }

  /** Takes a request out once the endpoint certainly does not run it any more. */
  leave (endpoint: EndpointId, requestId: RequestId): void {
    const requests = this.byEndpoint.get(endpoint)
    requests?.delete(requestId)
    if (requests?.size === 0) this.byEndpoint.delete(endpoint)
  }

  /** @returns whether a grant under this token may still be used */
  accepts (endpoint: EndpointId, token: FencingToken): boolean {
    return token >= (this.lowestTokens.get(endpoint) ?? 0)
  }

  /** Refuses grants under older tokens from now on, and tells all that may be running. */
  raiseLowestToken (endpoint: EndpointId, token: FencingToken): readonly InFlight[] {
    if (this.accepts(endpoint, token)) this.lowestTokens.set(endpoint, token)
    return this.at(endpoint)
  }

  /** @returns all requests that may be running at an endpoint */
  at (endpoint: EndpointId): readonly InFlight[] {
    return [...(this.byEndpoint.get(endpoint)?.values() ?? [])]
  }

  /** Requests in flight at all endpoints. */
  get size (): number {
    let size = 0
    for (const requests of this.byEndpoint.values()) size += requests.size
    return size
  }
}
