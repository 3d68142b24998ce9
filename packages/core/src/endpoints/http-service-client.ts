/** The client of an endpoint of a plain service over HTTP. */
import { ResultAsync } from 'neverthrow'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { EndpointId } from '../ids/ids.js'
import { neverConnected } from '../platform/store-connection.js'
import { ServiceClient } from './service-client.js'
import type { ServiceAnswer, ServiceCall } from './service-client.js'

/** Maximum size of a response body in bytes (16 MiB). */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
/** Maximum number of simultaneous connections to one endpoint. */
const MAXIMUM_CONNECTIONS = 256

/** A {@link ServiceClient} over HTTP. */
export class HttpServiceClient extends ServiceClient {
  private readonly endpoint: EndpointId
  private readonly base: string
  private readonly agent = new Agent({ connections: MAXIMUM_CONNECTIONS, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, maxResponseSize: MAXIMUM_ANSWER_BYTES })

  /**
   * @param endpoint - the endpoint's id, for error messages
   * @param base - the base URL of the endpoint
   */
  constructor (endpoint: EndpointId, base: string) {
    super()
    this.endpoint = endpoint
    this.base = base.replace(/\/$/, '')
  }

  override call (call: ServiceCall, signal: AbortSignal): ResultAsync<ServiceAnswer, LimpetwinchError> {
    return ResultAsync.fromPromise(this.send(call, signal), (cause) => {
      const reason = cause instanceof Error ? cause.message : String(cause)
      const outcome = neverConnected(cause) ? 'not_run' : 'unknown'
      return new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason }, { cause, outcome })
    })
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async send (call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const response = await request(this.base + call.target, {
      method: call.method as Dispatcher.HttpMethod,
      headers: call.headers,
      dispatcher: this.agent,
      signal,
      ...(call.body === undefined || call.body.length === 0 ? {} : { body: call.body })
    })
    const body = new Uint8Array(await response.body.arrayBuffer())
    return { status: response.statusCode, headers: joinRepeatedHeaders(response.headers), body }
  }
}

function joinRepeatedHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const entries = Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined) return []
    return [[name, Array.isArray(value) ? value.join(', ') : value] as const]
  })
  return Object.fromEntries(entries)
}
