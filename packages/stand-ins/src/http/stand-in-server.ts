/** What all stand-ins share: an HTTP server with connections that can be made to fall silent. */
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createAdaptorServer } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono } from 'hono'
import type { Context, MiddlewareHandler } from 'hono'

/** The environment of a stand-in's handlers: the connection underneath can be reached. */
export interface StandInEnvironment {
  Bindings: HttpBindings
}

/** The application of a stand-in. */
export type StandInApplication = Hono<StandInEnvironment>

/** One request to a stand-in. */
export type StandInContext = Context<StandInEnvironment>

export { RESPONSE_ALREADY_SENT }

/** A stand-in for an outside system, served over HTTP in this process. */
export abstract class StandInServer {
  private server: Server | undefined
  private readonly sockets = new Set<Socket>()
  private readonly silent = new WeakSet<Socket>()
  private remainingSilentConnections = 0

  /** @returns the URL, once it listens */
  get url (): string {
    if (this.server === undefined) throw new Error('The stand-in does not listen yet; call listen first.')
    const address = this.server.address() as AddressInfo
    return `http://${address.address}:${address.port}`
  }

  /**
   * Starts to listen.
   *
   * @param port - 0 picks a free one
   * @param host - the IP number to listen on
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

  /** Ends everything, open streams included. */
  async close (): Promise<void> {
    const server = this.server
    if (server === undefined) return
    await new Promise<void>((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }

  /** Adds the stand-in's own paths. */
  protected abstract routes (application: StandInApplication): void

  /** Lets nothing pass any more on the connections that are open; new ones work. */
  protected silenceOpenConnections (): void {
    for (const socket of this.sockets) this.silent.add(socket)
  }

  /** Accepts so many of the next connections and says nothing on them. */
  protected silenceNextConnections (count: number): void {
    this.remainingSilentConnections = count
  }

  /** @returns whether nothing passes on a connection */
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

  private silenceMiddleware (): MiddlewareHandler<StandInEnvironment> {
    return async (context, next) => {
      const control = context.req.path.startsWith('/control/')
      const socket = context.env.incoming.socket
      if (!control && this.isSilent(socket)) return RESPONSE_ALREADY_SENT
      await next()
      if (!control && this.isSilent(socket)) context.res = RESPONSE_ALREADY_SENT
    }
  }
}

/** Cuts a connection without an answer. */
export function cut (context: Context<StandInEnvironment>): Response {
  context.env.incoming.socket.destroy()
  return RESPONSE_ALREADY_SENT
}

/** Answers with the error form of the stand-ins. */
export function refuse (context: Context<StandInEnvironment>, status: 400 | 404 | 409 | 413 | 429 | 502 | 503, code: string, message: string): Response {
  return context.json({ error: { code, message } }, status)
}
