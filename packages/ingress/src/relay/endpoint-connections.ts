/** HTTP connections to one endpoint: each connection carries one request at a time, and is reused only after a complete response. */
import type { Socket } from 'node:net'
import type { InstanceId } from '@limpetwinch/core'
import { Client } from 'undici'
import type { EndpointDialler, EndpointSocket } from '../paths/endpoint-dialler.js'
import type { Endpoint } from '../routes/configuration.js'

/**
 * Time after which an idle connection is closed. Endpoints close idle connections after a time that they do not always announce.
 * When an endpoint closes a connection just as a request is sent, nobody knows whether the request ran. So this instance closes
 * idle connections well before endpoints usually do.
 */
const IDLE_MILLISECONDS = 4_000

/** One connection to an endpoint, with a record of how its socket ended. */
export class EndpointConnection {
  readonly client: Client
  /** How the current socket ended: by an error such as a reset, or in order by the endpoint; `not` while the socket is open. */
  ended: 'not' | 'in-order' | 'by-error' = 'not'
  /** Whether the current response has neither a length nor chunks, so that the end of the connection marks the end of the response. */
  bodyEndsWithConnection = false
  /** Whether the connection was open before the current request. */
  isReused = false
  /** Time that opening the connection took, in milliseconds; undefined until it is open. */
  connectMilliseconds: number | undefined
  /** The instance whose tunnel carries the connection; undefined for a connection over the own path. */
  via: InstanceId | undefined
  /** Called when bytes have arrived, before they are read, with the number of bytes that have arrived since the connection was opened. */
  onArrival: ((bytesRead: number) => void) | undefined
  private socket: EndpointSocket | undefined
  private isFollowed = false
  private isPaused = false
  private readonly closing = new AbortController()
  private orderlyEnd: Promise<boolean> | undefined

  /**
   * @param endpoint - the endpoint
   * @param dialler - opens the connection
   */
  constructor (endpoint: Endpoint, dialler: EndpointDialler) {
    this.client = new Client(`http://${endpoint.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_MILLISECONDS,
      connect: (_options, callback) => {
        this.ended = 'not'
        this.bodyEndsWithConnection = false
        this.orderlyEnd = undefined
        const startedAt = performance.now()
        void dialler.dial(endpoint, this.closing.signal).then((dialled) => {
          if (dialled.isErr()) return callback(dialled.error, null)
          const socket = dialled.value
          const { stream } = socket
          this.connectMilliseconds = Math.round(performance.now() - startedAt)
          this.via = socket.via
          this.socket = socket
          this.isFollowed = false
          // On a connection that the endpoint will close, undici takes the end of the connection for the end of the response, even
          // after a reset or without the last chunk, so a truncated response would look complete. These listeners run before
          // those of undici and record how the connection ended.
          stream.prependListener('error', () => { this.ended = 'by-error' })
          stream.prependListener('end', () => {
            this.ended = 'in-order'
            if (this.bodyEndsWithConnection) this.orderlyEnd = socket.provesOrderlyEnd()
          })
          this.readWhileNotPaused(socket)
          // undici uses no more of a socket than a duplex stream has.
          callback(null, stream as Socket)
        })
      }
    })
  }

  /** Number of bytes that have arrived since the connection was opened. */
  get bytesRead (): number {
    return this.socket?.stream.bytesRead ?? 0
  }

  /**
   * Begins to call {@link onArrival}. To be called when a request is being sent, since undici reads the socket by then: a listener that is
   * added earlier would be told of the first bytes alone.
   */
  followArrivals (): void {
    const stream = this.socket?.stream
    if (this.isFollowed || stream === undefined) return
    this.isFollowed = true
    stream.prependListener('readable', () => { this.onArrival?.(stream.bytesRead) })
  }

  /** Stops reading, so that the endpoint is slowed down once the buffers between are full. */
  pause (): void {
    this.isPaused = true
  }

  /** Continues to read, after the chunk that is being read now. */
  resume (): void {
    if (!this.isPaused) return
    this.isPaused = false
    process.nextTick(() => this.socket?.stream.emit('readable'))
  }

  /**
   * Lets undici find nothing to read while the connection is paused. undici's own pause stops its parser instead, which then fails when the
   * connection ends: the response would get neither its end nor an error.
   */
  private readWhileNotPaused ({ stream }: EndpointSocket): void {
    const read = stream.read.bind(stream)
    stream.read = (size) => this.isPaused ? null : read(size)
  }

  /** @returns whether the endpoint closed the connection on purpose, so that a response without a length is complete */
  async endedOnPurpose (): Promise<boolean> {
    return this.ended === 'in-order' && await this.orderlyEnd === true
  }

  /** Closes the connection at once; the endpoint then drops the request that it runs for this connection. */
  destroy (): void {
    this.closing.abort()
    void this.client.destroy().catch(() => {
      // The rejection repeats the error of the request in flight, which was already passed to the handler of that request.
    })
  }
}

/** Idle and busy connections to one endpoint. */
export class EndpointConnections {
  private readonly endpoint: Endpoint
  private readonly dialler: EndpointDialler
  private readonly idle: { readonly connection: EndpointConnection, readonly since: number }[] = []
  private busy = 0

  /**
   * @param endpoint - the endpoint
   * @param dialler - opens the connections
   */
  constructor (endpoint: Endpoint, dialler: EndpointDialler) {
    this.endpoint = endpoint
    this.dialler = dialler
  }

  /** Number of connections in use. */
  get inUse (): number {
    return this.busy
  }

  /**
   * Returns an idle connection, or else a new one.
   *
   * @param now - monotonic time
   * @returns a connection for one request
   */
  acquire (now: number): EndpointConnection {
    this.busy += 1
    for (let idle = this.idle.pop(); idle !== undefined; idle = this.idle.pop()) {
      if (now - idle.since < IDLE_MILLISECONDS && idle.connection.ended !== 'by-error' && !idle.connection.client.destroyed) {
        idle.connection.isReused = true
        return idle.connection
      }
      idle.connection.destroy()
    }
    return new EndpointConnection(this.endpoint, this.dialler)
  }

  /**
   * Takes a connection back after its request: adds the connection to the idle ones, or closes it.
   *
   * @param reusable - whether the last response on the connection was complete and the endpoint keeps the connection open
   * @param now - monotonic time
   */
  release (connection: EndpointConnection, reusable: boolean, now: number): void {
    this.busy -= 1
    if (reusable && connection.ended !== 'by-error') this.idle.push({ connection, since: now })
    else connection.destroy()
  }

  /** Closes connections that have been idle for longer than the idle timeout. */
  prune (now: number): void {
    while (this.idle[0] !== undefined && now - this.idle[0].since >= IDLE_MILLISECONDS) this.idle.shift()?.connection.destroy()
  }

  /** Closes the idle connections that a condition holds for. @param isUnusable - called with the instance whose tunnel carries the connection, if any */
  closeIdle (isUnusable: (via: InstanceId | undefined) => boolean): void {
    const idle = this.idle.splice(0)
    for (const each of idle) {
      if (isUnusable(each.connection.via)) each.connection.destroy()
      else this.idle.push(each)
    }
  }

  /** Closes all idle connections. */
  close (): void {
    for (const { connection } of this.idle.splice(0)) connection.destroy()
  }
}
