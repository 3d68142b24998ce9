/** The requests of callers that are in progress, which are ended together. */
import type { LimpetwinchError } from '@limpetwinch/core'
import type { CallerExchange } from './caller-exchange.js'

/** One request in progress. */
export interface OpenRequest {
  readonly exchange: CallerExchange
  /** Aborted when the request ends before it is answered. */
  readonly ending: AbortController
  /** Whether a relay serves the request, which then responds to it. */
  isRelayed: boolean
}

/** All requests in progress. */
export class OpenRequests {
  private readonly open = new Set<OpenRequest>()

  /** Number of requests in progress. */
  get count (): number {
    return this.open.size
  }

  /** Adds a request that has arrived. */
  begin (exchange: CallerExchange): OpenRequest {
    const request: OpenRequest = { exchange, ending: new AbortController(), isRelayed: false }
    this.open.add(request)
    return request
  }

  /** Removes a request whose response has left this process, or whose caller has left. */
  ended (request: OpenRequest): void {
    this.open.delete(request)
  }

  /** Ends all requests: those that no relay serves yet are refused with the error, the others get it as the reason of their end. */
  endAll (error: LimpetwinchError): void {
    for (const { exchange, ending, isRelayed } of this.open) {
      ending.abort(error)
      if (!isRelayed) exchange.refuse(error)
    }
  }
}
