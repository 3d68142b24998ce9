/** Connections to one endpoint: one request at a time on each, and none used again after a doubt. */
import type { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'

/** Data centres are a few milliseconds apart; what does not answer in this time is cut off or gone. */
const CONNECT_MILLISECONDS = 250
/**
 * An endpoint closes idle connections after a time that it does not always tell. One that closes just as a request is
 * sent leaves it unknown whether the request ran, so connections are given up well before.
 */
const IDLE_MILLISECONDS = 4_000

const connectSocket = buildConnector({ timeout: CONNECT_MILLISECONDS })

/** One connection. */
export class EndpointConnection {
  readonly client: Client
  /** How the present socket ended: by an error such as a reset, or in order by the endpoint. */
  ended: 'not' | 'in-order' | 'by-error' = 'not'
  /** The answer under way has no length: the end of the connection is its end. */
  bodyEndsWithConnection = false
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
        connectSocket(options, (error, socket) => {
          if (error !== null) return callback(error, null)
          // On a connection that the endpoint will close, undici takes its end for the end of the answer, also a reset
          // and also when the last chunk is missing. What was cut would look whole; these listeners run before
          // undici's and remember how it ended.
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

  /** @returns whether the endpoint ended the connection on purpose, so that an answer without a length is whole */
  async endedOnPurpose (): Promise<boolean> {
    return this.ended === 'in-order' && await this.orderlyEnd === true
  }

  /** Ends the connection at once; the endpoint drops what it does for it. */
  destroy (): void {
    void this.client.destroy().catch(() => {
      // Destroying reports the error of the request in flight, which that request's own handler has told already.
    })
  }
}

/**
 * A reset that arrives behind the last bytes is read as an orderly end, and an answer that was cut there would look
 * whole. The system tells it only to a writer: an empty line, which endpoints pass over, is refused on a connection that
 * was reset and taken on one that was ended.
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

  /** @returns connections in use */
  get inUse (): number {
    return this.busy
  }

  /**
   * @param now - monotonic time
   * @returns a connection for one request
   */
  acquire (now: number): EndpointConnection {
    this.busy += 1
    for (let kept = this.idle.pop(); kept !== undefined; kept = this.idle.pop()) {
      if (now - kept.since < IDLE_MILLISECONDS && kept.connection.ended !== 'by-error' && !kept.connection.client.destroyed) return kept.connection
      kept.connection.destroy()
    }
    return new EndpointConnection(this.address)
  }

  /**
   * Gives a connection back.
   *
   * @param reusable - whether its last answer left no doubt
   */
  release (connection: EndpointConnection, reusable: boolean, now: number): void {
    this.busy -= 1
    if (reusable && connection.ended !== 'by-error') this.idle.push({ connection, since: now })
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
