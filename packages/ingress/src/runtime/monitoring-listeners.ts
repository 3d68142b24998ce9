/**
 * Handles the HTTP requests for readiness and metrics, and opens an HTTP server for such a handler. `monitoring-servers.ts` runs
 * both servers of an instance, at addresses separate from the one for callers.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { splitAddress } from '@limpetwinch/core'

const OK = 200
const NOT_FOUND = 404
const INTERNAL_ERROR = 500
const NOT_READY = 503
const METRICS_PATH = '/metrics'

/** Sources of the readiness and metrics responses. */
export interface MonitoringSources {
  readonly isReady: () => boolean
  readonly metrics: () => Promise<string>
}

/** @returns a listener that responds to every path of the readiness address: 200 when ready, else 503 */
export function readinessListener (sources: MonitoringSources): RequestListener {
  return (_incoming, outgoing) => sources.isReady() ? respond(outgoing, OK, 'ready\n') : respond(outgoing, NOT_READY, 'not ready\n')
}

/** @returns a listener that serves the metrics at `/metrics` */
export function metricsListener (sources: MonitoringSources): RequestListener {
  return (incoming, outgoing) => {
    if (!isMetricsRequest(incoming)) return respond(outgoing, NOT_FOUND, 'The metrics are at /metrics.\n')
    void sources.metrics().then(
      (text) => respond(outgoing, OK, text),
      (cause: unknown) => respond(outgoing, INTERNAL_ERROR, `The metrics cannot be read: ${String(cause)}.\n`)
    )
  }
}

/**
 * Listens with Node's own HTTP server. The HTTP framework would load the fetch classes of Node, which an instance uses nowhere
 * else, and callers would wait for them to load after each restart.
 *
 * @param address - `host:port`
 * @param listener - handles the requests
 * @returns the listening server
 */
export async function listenAt (address: string, listener: RequestListener): Promise<Server> {
  const server = createServer(listener)
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
  return server
}

function isMetricsRequest ({ method, url }: IncomingMessage): boolean {
  return method === 'GET' && url?.split('?')[0] === METRICS_PATH
}

function respond (outgoing: ServerResponse, status: number, text: string): void {
  outgoing.writeHead(status, { 'content-type': 'text/plain; charset=utf-8', 'content-length': Buffer.byteLength(text) }).end(text)
}
