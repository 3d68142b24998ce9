/**
 * Handles the HTTP requests for readiness and metrics, and opens an HTTP server for such a handler. `monitoring-servers.ts` runs
 * both servers of an instance, at addresses separate from the one for callers.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { splitAddress } from '@limpetwinch/core'
import type { RequestExplainer } from '../operator/request-explainer.js'
import { answerWhere, WHERE_PATH } from '../operator/where-listener.js'

const OK = 200
const NOT_FOUND = 404
const INTERNAL_ERROR = 500
const NOT_READY = 503
const METRICS_PATH = '/metrics'

/** Sources of the readiness and metrics responses. */
export interface MonitoringSources {
  readonly isReady: () => boolean
  readonly metrics: () => Promise<string>
  /** Explains where a request would go; absent where nothing is explained. */
  readonly explainer?: Pick<RequestExplainer, 'explain'>
}

/** @returns a listener that responds to every path of the readiness address: 200 when ready, else 503 */
export function readinessListener (sources: MonitoringSources): RequestListener {
  return (_incoming, outgoing) => sources.isReady() ? respond(outgoing, OK, 'ready\n') : respond(outgoing, NOT_READY, 'not ready\n')
}

/** @returns a listener that serves the metrics at `/metrics`, and at `/where` where a request would go */
export function metricsListener (sources: MonitoringSources): RequestListener {
  return (incoming, outgoing) => {
    const { explainer } = sources
    const query = explainer === undefined ? undefined : queryOf(incoming, WHERE_PATH)
    if (explainer !== undefined && query !== undefined) {
      const { status, body } = answerWhere(explainer, query)
      return respond(outgoing, status, `${body}\n`, 'application/json')
    }
    if (queryOf(incoming, METRICS_PATH) === undefined) return respond(outgoing, NOT_FOUND, 'The metrics are at /metrics.\n')
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

/** @returns the query of a GET request for the path; undefined for any other request */
function queryOf ({ method, url = '' }: IncomingMessage, path: string): URLSearchParams | undefined {
  const [target, query] = url.split('?')
  return method === 'GET' && target === path ? new URLSearchParams(query) : undefined
}

function respond (outgoing: ServerResponse, status: number, text: string, type = 'text/plain; charset=utf-8'): void {
  outgoing.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(text) }).end(text)
}
