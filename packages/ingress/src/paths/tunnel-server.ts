/** Carries connections of other instances to endpoints that those instances do not reach. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { splitAddress } from '@limpetwinch/core'
import type { EndpointId, InstanceId, Logger } from '@limpetwinch/core'
import type { EndpointSocket } from './endpoint-dialler.js'
import type { TunnelAdmission } from './tunnel-admission.js'
import { ENDPOINT_HEADER, INSTANCE_HEADER, REFUSAL_HEADER, TUNNEL_PATH } from './tunnel-client.js'
import type { TunnelRefusal } from './tunnel-client.js'

/** Time limit for the headers of a request, in milliseconds; they are a few lines long. */
const HEADERS_MILLISECONDS = 1_000

/** What the server needs of the instance. */
export interface TunnelServerDependencies {
  readonly logger: Logger
  readonly admission: TunnelAdmission
  /** Called with what became of each request for a tunnel. */
  readonly onDecision?: (decision: 'carried' | TunnelRefusal) => void
}

/** A tunnel that is open or being opened. */
interface Tunnel {
  readonly endpoint: EndpointId
  readonly from: InstanceId
}

/** Accepts requests for tunnels of registered instances. */
export class TunnelServer {
  private readonly parts: TunnelServerDependencies
  private readonly server: Server
  private readonly tunnels = new Map<ServerResponse, Tunnel>()

  constructor (parts: TunnelServerDependencies) {
    this.parts = parts
    // The body of a request lasts as long as its tunnel.
    this.server = createServer({ headersTimeout: HEADERS_MILLISECONDS, requestTimeout: 0, noDelay: true }, (request, response) => { void this.handleRequest(request, response) })
  }

  /** Number of tunnels that are open or being opened. */
  get count (): number {
    return this.tunnels.size
  }

  /** @returns the instances for which this one carries tunnels to the endpoint */
  carriedFor (endpoint: EndpointId): readonly InstanceId[] {
    const instances = [...this.tunnels.values()].filter((tunnel) => tunnel.endpoint === endpoint).map(({ from }) => from)
    return [...new Set(instances)]
  }

  /**
   * Starts to listen.
   *
   * @param address - `host:port`
   * @throws the error of the socket when it cannot listen
   */
  async listen (address: string): Promise<void> {
    const { host, port } = splitAddress(address)
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen({ host, port }, () => resolve())
    })
  }

  /** Opens no further tunnels; open ones stay. */
  startStopping (): void {
    this.parts.admission.stop()
  }

  /** Stops listening and closes all tunnels, without the mark of an orderly end. */
  destroy (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { logger, admission, onDecision } = this.parts
    if (request.method !== 'POST' || request.url !== TUNNEL_PATH) return refuse(response, 'unavailable')
    const endpoint = String(request.headers[ENDPOINT_HEADER]) as EndpointId
    const from = String(request.headers[INSTANCE_HEADER])
    const left = new AbortController()
    this.tunnels.set(response, { endpoint, from: from as InstanceId })
    request.on('error', () => response.destroy())
    response.once('close', () => {
      left.abort()
      this.tunnels.delete(response)
    })
    const host = request.socket.remoteAddress?.replace(/^::ffff:/, '')
    const opened = await admission.connect({ endpoint, from, host, tunnels: this.tunnels.size, signal: left.signal })
    onDecision?.(opened.isOk() ? 'carried' : opened.error)
    if (opened.isOk()) {
      logger.debug('A tunnel was opened.', { endpoint, from, tunnels: this.tunnels.size })
      const end = await join(request, response, opened.value)
      logger.debug('A tunnel was closed.', { endpoint, from, end })
      return
    }
    logger.debug('A tunnel was refused.', { endpoint, from, reason: opened.error })
    refuse(response, opened.error)
  }
}

function refuse (response: ServerResponse, reason: TunnelRefusal): void {
  response.writeHead(503, { [REFUSAL_HEADER]: reason, connection: 'close', 'content-length': 0 }).end()
}

/** How a tunnel ended: the endpoint closed its connection in order, or lost it, or the asking instance closed the tunnel. */
type TunnelEnd = 'in-order' | 'lost' | 'by-asking-instance'

/**
 * Passes bytes between the asking instance and the endpoint until one of them closes. The last chunk of the response says that the endpoint closed
 * in order; the response has none when the connection to the endpoint was lost or when this process ends.
 *
 * @returns how the tunnel ended
 */
async function join (request: IncomingMessage, response: ServerResponse, endpoint: EndpointSocket): Promise<TunnelEnd> {
  const { stream } = endpoint
  return await new Promise((resolve) => {
    let hasEnded = false
    const cut = (): void => {
      resolve('lost')
      response.destroy()
    }
    stream.on('error', cut)
    if (response.destroyed) {
      stream.destroy()
      return resolve('by-asking-instance')
    }
    response.writeHead(200, { connection: 'close' }).flushHeaders()
    request.pipe(stream, { end: false })
    stream.pipe(response, { end: false })
    request.once('end', () => stream.destroy())
    response.once('close', () => {
      resolve('by-asking-instance')
      stream.destroy()
    })
    // Runs before Node.js ends the own side, after which nothing could be written.
    stream.prependOnceListener('end', () => {
      hasEnded = true
      void endpoint.provesOrderlyEnd().then((isOrderly) => {
        if (!isOrderly) return cut()
        resolve('in-order')
        response.end()
      })
    })
    stream.once('close', () => { if (!hasEnded) cut() })
  })
}
