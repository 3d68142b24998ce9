/** Base class of the stand-ins: an HTTP server whose connections can be made unresponsive. */
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createAdaptorServer } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono } from 'hono'
import type { Context, MiddlewareHandler } from 'hono'

/** Hono environment of the handlers of a stand-in; gives access to the underlying connection. */
export interface StandInEnvironment {
  Bindings: HttpBindings
}

/** Hono application of a stand-in. */
export type StandInApplication = Hono<StandInEnvironment>

/** Hono context of one request to a stand-in. */
export type StandInContext = Context<StandInEnvironment>

export { RESPONSE_ALREADY_SENT }

/** A stand-in for an external system, served over HTTP by this process. */
export abstract class StandInServer {
  private server: Server | undefined
  private readonly sockets = new Set<Socket>()
  private readonly silent = new WeakSet<Socket>()
  private remainingSilentConnections = 0

  /** @returns the URL; throws before {@link StandInServer.listen} has resolved */
  get url (): string {
    if (this.server === undefined) throw new Error('The stand-in is not listening yet; call listen first.')
    const address = this.server.address() as AddressInfo
    return `http://${address.address}:${address.port}`
  }

  /**
   * Starts listening.
   *
   * @param port - port to listen on; 0 selects a free port
   * @param host - IP address to listen on
   * @returns the URL
   */
  async listen (port = 0, host = '127.0.0.1'): Promise<string> {
    const application = new Hono<StandInEnvironment>()
    application.use(this.silenceMiddleware())
    this.routes(application)
    const server = createAdaptorServer({ fetch: application.fetch }) as Server
    server.on('connection', (socket) => this.accept(socket))
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    this.server = server
    return this.url
  }

  /** Stops the server and closes all connections, including open streams. */
  async close (): Promise<void> {
    const server = this.server
    if (server === undefined) return
    await new Promise<void>((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }

  /** Adds the routes of the stand-in. */
  protected abstract routes (application: StandInApplication): void

  /** Makes all open connections unresponsive; new connections work. */
  protected silenceOpenConnections (): void {
    for (const socket of this.sockets) this.silent.add(socket)
  }

  /** Makes a number of next connections unresponsive; they are accepted but never answered. */
  protected silenceNextConnections (count: number): void {
    this.remainingSilentConnections = count
  }

  /** @returns whether a connection was made unresponsive */
  protected isSilent (socket: Socket | null): boolean {
    return socket !== null && this.silent.has(socket)
  }

  private accept (socket: Socket): void {
    socket.setNoDelay(true)
    this.sockets.add(socket)
    socket.on('close', () => this.sockets.delete(socket))
    if (this.remainingSilentConnections === 0) return
    this.remainingSilentConnections -= 1
    this.silent.add(socket)
  }

  /** @returns middleware that sends no response on unresponsive connections, except for control requests */
  private silenceMiddleware (): MiddlewareHandler<StandInEnvironment> {
    return async (context, next) => {
      const isControl = context.req.path.startsWith('/control/')
      const socket = context.env.incoming.socket
      if (!isControl && this.isSilent(socket)) return RESPONSE_ALREADY_SENT
      await next()
      if (!isControl && this.isSilent(socket)) context.res = RESPONSE_ALREADY_SENT
    }
  }
}

/** Closes the connection of a request without a response. */
export function cut (context: Context<StandInEnvironment>): Response {
  context.env.incoming.socket.destroy()
  return RESPONSE_ALREADY_SENT
}

/** Responds with an error in the format of the stand-ins. */
export function refuse (context: Context<StandInEnvironment>, status: 400 | 404 | 409 | 413 | 429 | 502 | 503, code: string, message: string): Response {
  return context.json({ error: { code, message } }, status)
}
