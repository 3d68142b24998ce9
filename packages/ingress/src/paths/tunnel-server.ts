/** Carries connections of other instances to endpoints that those instances do not reach. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import { splitAddress } from '@limpetwinch/core'
import type { EndpointId, InstanceId, Logger } from '@limpetwinch/core'
import { provesOrderlyEnd } from './orderly-end.js'
import type { TunnelAdmission } from './tunnel-admission.js'
import { INSTANCE_HEADER, REFUSAL_HEADER } from './tunnel-client.js'
import type { TunnelRefusal } from './tunnel-client.js'

/** Time limit for a request, in milliseconds; it is a few headers long. */
const REQUEST_MILLISECONDS = 1_000

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
  private readonly tunnels = new Map<Duplex, Tunnel>()

  constructor (parts: TunnelServerDependencies) {
    this.parts = parts
    this.server = createServer({ requestTimeout: REQUEST_MILLISECONDS, noDelay: true }, (_request, response) => {
      response.writeHead(405, { connection: 'close' }).end()
    })
    this.server.on('connect', (request: IncomingMessage, socket: Duplex) => { void this.handleRequest(request, socket as Socket) })
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

  /** Stops listening and closes all tunnels. */
  destroy (): void {
    this.server.close()
    this.server.closeAllConnections()
    for (const tunnel of this.tunnels.keys()) tunnel.destroy()
  }

  private async handleRequest (request: IncomingMessage, caller: Socket): Promise<void> {
    const { logger, admission, onDecision } = this.parts
    const endpoint = request.url as EndpointId
    const from = String(request.headers[INSTANCE_HEADER])
    const left = new AbortController()
    this.tunnels.set(caller, { endpoint, from: from as InstanceId })
    caller.on('error', () => caller.destroy())
    caller.once('close', () => {
      left.abort()
      this.tunnels.delete(caller)
    })
    const host = caller.remoteAddress?.replace(/^::ffff:/, '')
    const opened = await admission.connect({ endpoint, from, host, tunnels: this.tunnels.size, signal: left.signal })
    onDecision?.(opened.isOk() ? 'carried' : opened.error)
    if (opened.isOk()) {
      logger.debug('A tunnel was opened.', { endpoint, from, tunnels: this.tunnels.size })
      return join(caller, opened.value)
    }
    logger.debug('A tunnel was refused.', { endpoint, from, reason: opened.error })
    caller.end(`HTTP/1.1 503 No tunnel\r\n${REFUSAL_HEADER}: ${opened.error}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}

/** Passes bytes between the asking instance and the endpoint until one of them closes, and shows each how the other closed. */
function join (caller: Socket, endpoint: Socket): void {
  endpoint.on('error', () => caller.resetAndDestroy())
  if (caller.destroyed) {
    endpoint.destroy()
    return
  }
  caller.write('HTTP/1.1 200 Connected\r\n\r\n')
  caller.pipe(endpoint, { end: false })
  endpoint.pipe(caller, { end: false })
  caller.once('end', () => endpoint.destroy())
  caller.once('close', () => endpoint.destroy())
  let hasEnded = false
  // Runs before Node.js ends the own side, after which nothing could be written.
  endpoint.prependOnceListener('end', () => {
    hasEnded = true
    void provesOrderlyEnd(endpoint).then((isOrderly) => isOrderly ? caller.end() : caller.resetAndDestroy())
  })
  endpoint.once('close', () => { if (!hasEnded) caller.resetAndDestroy() })
}
