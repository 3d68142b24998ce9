/** HTTP connections to one endpoint: each connection carries one request at a time, and is reused only after a complete response. */
import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'

/**
 * Connection timeout. Data centres are a few milliseconds apart, so an endpoint that does not accept a connection within this time is
 * unreachable or has left.
 */
const CONNECT_MILLISECONDS = 250
/**
 * Time after which an idle connection is closed. Endpoints close idle connections after a time that they do not always announce.
 * When an endpoint closes a connection just as a request is sent, nobody knows whether the request ran. So this instance closes
 * idle connections well before endpoints usually do.
 */
const IDLE_MILLISECONDS = 4_000

const connectSocket = buildConnector({ timeout: CONNECT_MILLISECONDS })

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
  private orderlyEnd: Promise<boolean> | undefined

  /** @param address - `host:port` */
  constructor (address: string) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_MILLISECONDS,
      connect: (options, callback) => {
        this.ended = 'not'
        this.bodyEndsWithConnection = false
        this.orderlyEnd = undefined
        const startedAt = performance.now()
        connectSocket(options, (error, socket) => {
          if (error !== null) return callback(error, null)
          this.connectMilliseconds = Math.round(performance.now() - startedAt)
          // On a connection that the endpoint will close, undici takes the end of the connection for the end of the response, even
          // after a reset or without the last chunk, so a truncated response would look complete. These listeners run before
          // those of undici and record how the connection ended.
          const plain = socket as Socket
          plain.prependListener('error', () => { this.ended = 'by-error' })
          plain.prependListener('end', () => {
            this.ended = 'in-order'
            if (this.bodyEndsWithConnection) this.orderlyEnd = provesOrderlyEnd(plain)
          })
          callback(null, plain)
        })
      }
    })
  }

  /** @returns whether the endpoint closed the connection on purpose, so that a response without a length is complete */
  async endedOnPurpose (): Promise<boolean> {
    return this.ended === 'in-order' && await this.orderlyEnd === true
  }

  /** Closes the connection at once; the endpoint then drops the request that it runs for this connection. */
  destroy (): void {
    void this.client.destroy().catch(() => {
      // The rejection repeats the error of the request in flight, which was already passed to the handler of that request.
    })
  }
}

/**
 * Checks by a write whether a connection was closed in order. A reset that arrives after the last bytes is read as an orderly end, so
 * a response that was truncated by the reset would look complete. The operating system reports the reset only to a write. Writing an
 * empty line, which endpoints ignore, fails on a connection that was reset and succeeds on one that was closed in order.
 */
async function provesOrderlyEnd (socket: Socket): Promise<boolean> {
  return await new Promise((resolve) => {
    socket.write('\r\n', (error) => resolve(error === null || error === undefined))
  })
}

/** Idle and busy connections to one endpoint. */
export class EndpointConnections {
  private readonly address: string
  private readonly idle: { readonly connection: EndpointConnection, readonly since: number }[] = []
  private busy = 0

  /** @param address - `host:port` */
  constructor (address: string) {
    this.address = address
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
    return new EndpointConnection(this.address)
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

  /** Closes all idle connections. */
  close (): void {
    for (const { connection } of this.idle.splice(0)) connection.destroy()
  }
}
