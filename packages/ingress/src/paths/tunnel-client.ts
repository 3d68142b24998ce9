/** Opens tunnels: connections to endpoints that another instance opens and whose bytes it passes on. */
import { request } from 'node:http'
import { splitAddress } from '@limpetwinch/core'
import type { DataCentreId, EndpointId, InstanceId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { TunnelStream } from './tunnel-stream.js'

/** Header in which an instance that asks for a tunnel names itself. */
export const INSTANCE_HEADER = 'limpetwinch-instance'
/** Header of a refusal that says why no tunnel was opened. */
export const REFUSAL_HEADER = 'limpetwinch-refusal'

/**
 * Why an instance opened no tunnel.
 *
 * - `no-path`: it has lost its own path to the endpoint
 * - `refused`, `silent`: the endpoint refused its connection, or did not accept it in time
 * - `unavailable`: it opens no tunnels now, or does not know the endpoint or the asking instance
 * - `no-answer`: nothing was heard from the instance
 */
export const TUNNEL_REFUSALS = ['no-path', 'refused', 'silent', 'unavailable', 'no-answer'] as const

/** One of {@link TUNNEL_REFUSALS}. */
export type TunnelRefusal = typeof TUNNEL_REFUSALS[number]

/** An instance that opens tunnels. */
export interface TunnelPeer {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  /** `host:port` at which it accepts requests for tunnels. */
  readonly address: string
}

/** What a tunnel is asked for. */
export interface TunnelRequest {
  readonly endpoint: EndpointId
  /** The asking instance. */
  readonly self: InstanceId
  /** The host at which the asking instance is registered; it connects from there. */
  readonly ownHost: string
  /** Time limit for opening the tunnel. */
  readonly milliseconds: number
  /** Cancels the attempt. */
  readonly signal: AbortSignal
}

/** Path at which an instance is asked for tunnels. */
export const TUNNEL_PATH = '/tunnels'
/** Header that names the endpoint of a tunnel. */
export const ENDPOINT_HEADER = 'limpetwinch-endpoint'

const OK = 200

/** Asks an instance for a tunnel to an endpoint. @returns the connection, which behaves like one to the endpoint */
export async function openTunnel (peer: TunnelPeer, { endpoint, self, ownHost, milliseconds, signal }: TunnelRequest): Promise<Result<TunnelStream, TunnelRefusal>> {
  const { host, port } = splitAddress(peer.address)
  return await new Promise((resolve) => {
    const headers = { [INSTANCE_HEADER]: self, [ENDPOINT_HEADER]: endpoint, 'transfer-encoding': 'chunked' }
    const outgoing = request({ host, port, localAddress: ownHost, method: 'POST', path: TUNNEL_PATH, headers, agent: false })
    const timer = setTimeout(() => outgoing.destroy(), milliseconds)
    const cancel = (): void => { outgoing.destroy() }
    const settle = (result: Result<TunnelStream, TunnelRefusal>): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', cancel)
      resolve(result)
    }
    signal.addEventListener('abort', cancel)
    outgoing.once('response', (incoming) => {
      if (incoming.statusCode === OK) {
        const stream = new TunnelStream(outgoing, incoming)
        stream.on('error', () => stream.destroy())
        return settle(ok(stream))
      }
      settle(err(refusalOf(incoming.headers[REFUSAL_HEADER])))
      outgoing.destroy()
    })
    outgoing.once('close', () => settle(err('no-answer')))
    outgoing.on('error', () => settle(err('no-answer')))
    outgoing.flushHeaders()
    if (signal.aborted) cancel()
  })
}

function refusalOf (text: string | string[] | undefined): TunnelRefusal {
  return TUNNEL_REFUSALS.find((refusal) => refusal === text) ?? 'unavailable'
}
