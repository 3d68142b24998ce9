/**
 * Opens connections to endpoints over the own path, or through a tunnel of another instance when the own path fails. Callers of an instance
 * that is cut off from the endpoints are thus served like the callers of the others.
 */
import type { Clock, InstanceId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Endpoint } from '../routes/configuration.js'
import { DialError, EndpointDialler, TunnelledSocket } from './endpoint-dialler.js'
import type { EndpointSocket } from './endpoint-dialler.js'
import type { EndpointPaths } from './endpoint-paths.js'
import type { openTunnel } from './tunnel-client.js'
import type { TunnelPeers } from './tunnel-peers.js'

/**
 * Time after which a tunnel is opened beside a connection that is not open yet, in milliseconds: many times a round trip, and short enough
 * that a request which meets a lost path first can still be on time.
 */
const HEAD_START_MILLISECONDS = 50
/** Time limit for opening a tunnel, in milliseconds; the other instance needs up to 100 ms to find an endpoint silent. */
const TUNNEL_MILLISECONDS = 150
/** Most instances that are asked for one connection. */
const MOST_PEERS = 8
/** Most instances that try to connect to the endpoint for it: those that know that they are cut off too say so at once, the others do not know it yet. */
const MOST_FAILED_TRIALS = 3

/** What the dialler needs of the instance. */
export interface PathDiallerDependencies {
  readonly self: InstanceId
  readonly ownHost: string
  readonly clock: Clock
  readonly paths: Pick<EndpointPaths, 'isLost' | 'recordDetour' | 'recordLost' | 'recordReached'>
  readonly peers: Pick<TunnelPeers, 'candidates' | 'avoid'>
  readonly direct: EndpointDialler
  readonly openTunnel: typeof openTunnel
}

type DialResult = Result<EndpointSocket, DialError>

/** Chooses the path of each connection. */
export class PathDialler extends EndpointDialler {
  protected readonly parts: PathDiallerDependencies

  constructor (parts: PathDiallerDependencies) {
    super()
    this.parts = parts
  }

  override async dial (endpoint: Endpoint, signal: AbortSignal): Promise<DialResult> {
    if (!this.parts.paths.isLost(endpoint.id)) return await this.race(endpoint, signal)
    const tunnel = await this.dialThroughPeers(endpoint, signal)
    if (tunnel.isOk()) this.parts.paths.recordDetour(endpoint.id)
    return tunnel.isOk() || signal.aborted ? tunnel : await this.dialDirectly(endpoint, signal)
  }

  /** Opens a connection through another instance. */
  async dialThroughPeers (endpoint: Endpoint, signal: AbortSignal): Promise<DialResult> {
    const { self, ownHost, peers } = this.parts
    let last = new DialError('silent', 'no instance opened a tunnel')
    let failedTrials = 0
    for (const peer of peers.candidates(endpoint, MOST_PEERS)) {
      if (signal.aborted || failedTrials >= MOST_FAILED_TRIALS) break
      const opened = await this.parts.openTunnel(peer, { endpoint: endpoint.id, self, ownHost, milliseconds: TUNNEL_MILLISECONDS, signal })
      if (opened.isOk()) return ok(new TunnelledSocket(opened.value, peer.instance))
      if (!signal.aborted) peers.avoid(peer.instance, endpoint.id)
      if (opened.error !== 'no-path') failedTrials += 1
      last = new DialError(opened.error === 'refused' ? 'refused' : 'silent', `no tunnel to ${endpoint.address}: ${opened.error}`)
    }
    return err(last)
  }

  /** Opens a connection over the own path, and a tunnel as well when that takes long or fails. The first open connection is used. */
  private async race (endpoint: Endpoint, signal: AbortSignal): Promise<DialResult> {
    const { clock } = this.parts
    const isSettled = new AbortController()
    const direct = this.dialDirectly(endpoint, signal)
    const early = await Promise.race([direct, clock.sleep(HEAD_START_MILLISECONDS, isSettled.signal)])
    isSettled.abort()
    if (signal.aborted || early?.isOk() === true) return await direct
    const withoutTunnel = new AbortController()
    const tunnel = this.dialThroughPeers(endpoint, AbortSignal.any([signal, withoutTunnel.signal]))
    const first = await firstOpen(direct, tunnel)
    if (first.winner === 'neither') return first.result
    if (first.winner === 'direct') {
      withoutTunnel.abort()
      void tunnel.then(close)
      return first.result
    }
    void direct.then((result) => this.judge(endpoint, result, signal))
    return first.result
  }

  /** After a tunnel was opened: a connection of the own that opened late or not at all shows whether the own path is lost. */
  private judge (endpoint: Endpoint, direct: DialResult, signal: AbortSignal): void {
    if (direct.isOk()) return close(direct)
    if (!signal.aborted) this.parts.paths.recordLost(endpoint.id, direct.error.message)
  }

  private async dialDirectly (endpoint: Endpoint, signal: AbortSignal): Promise<DialResult> {
    const result = await this.parts.direct.dial(endpoint, signal)
    if (result.isOk()) this.parts.paths.recordReached(endpoint.id)
    return result
  }
}

function close (result: DialResult): void {
  if (result.isOk()) result.value.stream.destroy()
}

/** @returns the first open connection; the error of the own path if neither opens, or of the tunnel if only that was refused by the endpoint */
async function firstOpen (direct: Promise<DialResult>, tunnel: Promise<DialResult>): Promise<{ readonly winner: 'direct' | 'tunnel' | 'neither', readonly result: DialResult }> {
  const first = await Promise.race([
    direct.then((result) => ({ winner: 'direct' as const, result })),
    tunnel.then((result) => ({ winner: 'tunnel' as const, result }))
  ])
  if (first.result.isOk()) return first
  const [own, others] = await Promise.all([direct, tunnel])
  if (own.isOk()) return { winner: 'direct', result: own }
  if (others.isOk()) return { winner: 'tunnel', result: others }
  return { winner: 'neither', result: own.error.kind === 'refused' || others.error.kind !== 'refused' ? own : others }
}
