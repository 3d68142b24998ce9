/** The addresses beside the callers': readiness and metrics. */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'

const OK = 200
const NOT_FOUND = 404
const FAULT = 500
const NOT_READY = 503
const METRICS_PATH = '/metrics'

/** What the side addresses answer from. */
export interface MonitoringSources {
  readonly isReady: () => boolean
  readonly metrics: () => Promise<string>
}

/** @returns a listener that answers every path of the readiness address: 200 when ready, else 503 */
export function readinessListener (answers: MonitoringSources): RequestListener {
  return (_incoming, outgoing) => answers.isReady() ? answer(outgoing, OK, 'ready\n') : answer(outgoing, NOT_READY, 'not ready\n')
}

/** @returns a listener that serves the metrics */
export function metricsListener (answers: MonitoringSources): RequestListener {
  return (incoming, outgoing) => {
    if (!asksForMetrics(incoming)) return answer(outgoing, NOT_FOUND, 'The metrics are at /metrics.\n')
    void answers.metrics().then(
      (text) => answer(outgoing, OK, text),
      (cause: unknown) => answer(outgoing, FAULT, `The metrics cannot be read: ${String(cause)}.\n`)
    )
  }
}

/**
 * Listens at `host:port`. The runtime's own server is used: the HTTP framework would load the runtime's fetch classes, which
 * a service needs nowhere else and whose loading its callers would wait for after each restart.
 *
 * @returns the server
 */
export async function listenAt (address: string, listener: RequestListener): Promise<Server> {
  const server = createServer(listener)
  const at = address.lastIndexOf(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(at + 1)), address.slice(0, at), () => resolve())
  })
  return server
}

function asksForMetrics ({ method, url }: IncomingMessage): boolean {
  return method === 'GET' && url?.split('?')[0] === METRICS_PATH
}

function answer (outgoing: ServerResponse, status: number, text: string): void {
  outgoing.writeHead(status, { 'content-type': 'text/plain; charset=utf-8', 'content-length': Buffer.byteLength(text) }).end(text)
}
