/** Connections to one endpoint: one request at a time on each, and none used again after a doubt. */
import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'

/** Data centres are a few milliseconds apart; what does not answer in this time is cut off or gone. */
const CONNECT_MILLISECONDS = 400
/**
 * An endpoint closes idle connections after a time that it does not always tell. One that closes just as a request is
 * sent leaves it unknown whether the request ran, so connections are given up well before.
 */
const IDLE_MILLISECONDS = 4_000

const connectSocket = buildConnector({ timeout: CONNECT_MILLISECONDS })

/** One connection. */
export class EndpointConnection {
  readonly client: Client
  /** Whether the present socket ended by an error, such as a reset, and not by an orderly end. */
  broken = false

  /** @param address - `host:port` */
  constructor (address: string) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_MILLISECONDS,
      connect: (options, callback) => {
        this.broken = false
        connectSocket(options, (error, socket) => {
          if (error !== null) return callback(error, null)
          // Undici takes a reset for the end of an answer that has no length. What was cut would look whole; this
          // listener runs before undici's and remembers the reset.
          ;(socket as Socket).prependListener('error', () => { this.broken = true })
          callback(null, socket as Socket)
        })
      }
    })
  }

  /** Ends the connection at once; the endpoint drops what it does for it. */
  destroy (): void {
    void this.client.destroy().catch(() => {
      // Destroying reports the error of the request in flight, which that request's own handler has told already.
    })
  }
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

  /** @returns connections in use */
  get inUse (): number {
    return this.busy
  }

  /**
   * @param now - monotonic time
   * @returns a connection for one request
   */
  take (now: number): EndpointConnection {
    this.busy += 1
    for (let kept = this.idle.pop(); kept !== undefined; kept = this.idle.pop()) {
      if (now - kept.since < IDLE_MILLISECONDS && !kept.connection.broken && !kept.connection.client.destroyed) return kept.connection
      kept.connection.destroy()
    }
    return new EndpointConnection(this.address)
  }

  /**
   * Gives a connection back.
   *
   * @param reusable - whether its last answer left no doubt
   */
  giveBack (connection: EndpointConnection, reusable: boolean, now: number): void {
    this.busy -= 1
    if (reusable && !connection.broken) this.idle.push({ connection, since: now })
    else connection.destroy()
  }

  /** Closes idle connections that were not used for a while. */
  prune (now: number): void {
    while (this.idle[0] !== undefined && now - this.idle[0].since >= IDLE_MILLISECONDS) this.idle.shift()?.connection.destroy()
  }

  /** Closes all idle connections. */
  close (): void {
    for (const { connection } of this.idle.splice(0)) connection.destroy()
  }
}
