/** An HTTP server with limits on connections, headers and time, around a hono application. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { getRequestListener } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import type { Hono } from 'hono'

/** Limits of a server. */
export interface ServerLimits {
  readonly headerBytes: number
  readonly headerSeconds: number
  readonly bodySeconds: number
  readonly connections: number
}

/** How long an idle connection is kept. */
const KEEP_ALIVE_MILLISECONDS = 65_000
const IDLE_CLOSE_INTERVAL_MILLISECONDS = 50

/** A server that can be listened on and closed in order. */
export class HttpServer {
  private readonly server: Server

  /**
   * @param app - the routes
   * @param limits - what callers may take
   */
  constructor (app: Hono<{ Bindings: HttpBindings }>, limits: ServerLimits) {
    this.server = createServer({
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headerSeconds * 1000,
      requestTimeout: (limits.headerSeconds + limits.bodySeconds + 1) * 1000,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS
    }, getRequestListener(app.fetch, { overrideGlobalObjects: false }))
    this.server.maxConnections = limits.connections
  }

  /** @returns the URL that it listens on; port 0 picks a free one */
  async listen (host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, () => resolve())
    })
    const address = this.server.address() as AddressInfo
    return `http://${host}:${address.port}`
  }

  /**
   * Takes no new connections; resolves when those that are busy have ended. A caller keeps its connection open after
   * the answer, and the close would wait for it, so what has become idle is closed again and again.
   */
  async close (): Promise<void> {
    const sweep = setInterval(() => this.server.closeIdleConnections(), IDLE_CLOSE_INTERVAL_MILLISECONDS)
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
    clearInterval(sweep)
  }

  /** Ends all connections now. */
  destroy (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
