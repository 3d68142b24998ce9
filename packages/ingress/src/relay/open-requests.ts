/** The requests of callers that are in progress, by connection: they are ended together, and a connection is closed after the last one. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { CallerExchange } from './caller-exchange.js'

/** One request in progress. */
export interface OpenRequest {
  readonly outgoing: ServerResponse
  readonly exchange: CallerExchange
  /** Aborted when the request ends before it is answered. */
  readonly ending: AbortController
  /** Whether a relay serves the request, which then responds to it. */
  isRelayed: boolean
}

/** All requests in progress. */
export class OpenRequests {
  private readonly open = new Set<OpenRequest>()
  private readonly byConnection = new WeakMap<Socket, Set<OpenRequest>>()

  /** Number of requests in progress. */
  get count (): number {
    return this.open.size
  }

  /** Adds a request that has arrived. */
  begin (incoming: IncomingMessage, outgoing: ServerResponse, exchange: CallerExchange): OpenRequest {
    const request: OpenRequest = { outgoing, exchange, ending: new AbortController(), isRelayed: false }
    this.open.add(request)
    const { socket } = incoming
    this.ofConnection(socket).add(request)
    return request
  }

  /** Removes a request whose response has left this process, or whose caller has left. */
  ended (incoming: IncomingMessage, request: OpenRequest): void {
    this.open.delete(request)
    this.byConnection.get(incoming.socket)?.delete(request)
  }

  /** @returns whether other requests of the same connection, which the caller has pipelined, are in progress */
  hasOthers (incoming: IncomingMessage, request: OpenRequest): boolean {
    return this.others(incoming, request).length > 0
  }

  /**
   * Asks the caller to use another connection after the response to this request. The responses before it, which would close the connection
   * too early, do not ask any more.
   *
   * @returns whether the response will reach the caller; not if an earlier one that has begun closes the connection
   */
  askToLeave (incoming: IncomingMessage, request: OpenRequest): boolean {
    request.outgoing.setHeader('connection', 'close')
    const earlier = this.others(incoming, request).map(({ outgoing }) => outgoing)
    if (earlier.some((outgoing) => outgoing.headersSent && outgoing.getHeader('connection') === 'close')) return false
    for (const outgoing of earlier) if (!outgoing.headersSent) outgoing.removeHeader('connection')
    return true
  }

  /** Ends all requests: those that no relay serves yet are refused with the error, the others get it as the reason of their end. */
  endAll (error: LimpetwinchError): void {
    for (const { exchange, ending, isRelayed } of this.open) {
      ending.abort(error)
      if (!isRelayed) exchange.refuse(error)
    }
  }

  private ofConnection (socket: Socket): Set<OpenRequest> {
    const known = this.byConnection.get(socket)
    if (known !== undefined) return known
    const requests = new Set<OpenRequest>()
    this.byConnection.set(socket, requests)
    socket.once('close', () => { for (const { exchange } of requests) exchange.disconnected() })
    return requests
  }

  private others (incoming: IncomingMessage, request: OpenRequest): OpenRequest[] {
    return [...this.byConnection.get(incoming.socket) ?? []].filter((each) => each !== request)
  }
}
