/**
 * HTTP server for a Hono application, with limits on the number of connections, the size of headers and the time of
 * requests.
 */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { getRequestListener } from '@hono/node-server'
import type { HttpBindings } from '@hono/node-server'
import type { Hono } from 'hono'

/** Limits that a server sets to connections and requests. */
export interface ServerLimits {
  readonly headerBytes: number
  readonly headerSeconds: number
  readonly bodySeconds: number
  readonly connections: number
}

/** Time for which a connection is kept open after a response without a further request. */
const KEEP_ALIVE_MILLISECONDS = 65_000
/** Interval at which idle connections are closed while the server waits for the requests in progress. */
const IDLE_CLOSE_INTERVAL_MILLISECONDS = 50

/** An HTTP server that can be closed gracefully. */
export class HttpServer {
  private readonly server: Server

  /**
   * @param app - the routes to serve
   * @param limits - the limits on connections and requests
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

  /**
   * Starts to listen.
   *
   * @param host - the host name or address to listen on
   * @param port - the port to listen on; 0 picks a free port
   * @returns the URL of the server
   */
  async listen (host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, () => resolve())
    })
    const address = this.server.address() as AddressInfo
    return `http://${host}:${address.port}`
  }

  /**
   * Stops accepting connections, and resolves when the requests in progress have ended. Callers keep their connections open
   * after a response, which would delay the close, so connections that have become idle are closed at a short interval.
   */
  async close (): Promise<void> {
    const idleCloser = setInterval(() => this.server.closeIdleConnections(), IDLE_CLOSE_INTERVAL_MILLISECONDS)
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
    clearInterval(idleCloser)
  }

  /** Stops accepting connections and closes all open connections immediately. */
  destroy (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
