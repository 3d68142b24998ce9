/**
 * Learns which endpoints send responses without an end, and tells all instances: the endpoint is out of use everywhere after a few such responses,
 * and is then tried by one instance at a time.
 */
import type { Clock, EndpointId, InstanceId, Logger, UnboundedResponseFrame } from '@limpetwinch/core'
import { EndpointHold, FleetEjection } from '@limpetwinch/decisions'
import type { UnboundedKind } from '@limpetwinch/decisions'
import type { PeerLinks } from '@limpetwinch/entry'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { Endpoint } from '../routes/configuration.js'

/** Where a response without an end came from: a request, or an order or report of an engine. */
export type UnboundedSource = 'request' | 'order'

/** What the room needs of the instance. */
export interface UnboundedResponsesDependencies {
  readonly self: InstanceId
  /** Name of this instance, by which the others know whose turn it is to try an endpoint. */
  readonly name: string
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: Pick<EndpointDirectory, 'find'>
  readonly metrics: Pick<IngressMetrics, 'unboundedResponse'>
  /** @returns names of the instances that can be reached, with this one */
  readonly liveInstances: () => readonly string[]
  readonly broadcast: (frame: UnboundedResponseFrame) => void
}

/** An attempt of this instance on an endpoint, while it runs. */
export interface FollowedAttempt {
  /** Records the end of the attempt. @param unbounded - what makes the response one without an end; undefined unless it is */
  readonly ended: (isWhole: boolean, unbounded: UnboundedKind | undefined) => void
}

/** Keeps endpoints that send responses without an end out of use. */
export class UnboundedResponses extends EndpointHold {
  private readonly parts: UnboundedResponsesDependencies
  private readonly ejection = new FleetEjection()
  /** Start times of the endpoints that are known here, since a restart clears an endpoint. */
  private readonly born = new Map<EndpointId, number>()
  private readonly running = new Map<EndpointId, Set<() => void>>()

  constructor (parts: UnboundedResponsesDependencies) {
    super()
    this.parts = parts
  }

  override get isEmpty (): boolean {
    return this.born.size === 0
  }

  override isHeld (endpoint: EndpointId, now: number): boolean {
    if (this.isEmpty) return false
    const phase = this.ejection.phase(endpoint, now)
    if (phase !== 'trial') return phase === 'out'
    return (this.running.get(endpoint)?.size ?? 0) > 0 || this.ejection.trialInstance(endpoint, this.parts.liveInstances(), now) !== this.parts.name
  }

  override heldUntil (endpoint: EndpointId): number {
    return this.ejection.trialFrom(endpoint)
  }

  override penalty (endpoint: EndpointId, now: number): number {
    return this.ejection.penalty(endpoint, now)
  }

  /** Number of endpoints that are out of use or tried. */
  get ejectedCount (): number {
    return this.ejection.ejected(this.parts.clock.now()).length
  }

  /** Registers the handler of the notices, and tells instances that connect later of the endpoints that are out of use. */
  connect (network: Pick<PeerLinks, 'onNotice'>, overlay: Pick<PeerOverlay, 'onNeighbour' | 'replay'>): void {
    network.onNotice('unbounded-response', (_from, frame) => { this.receive(frame) })
    overlay.onNeighbour((neighbour) => overlay.replay(neighbour, this.frames().map((frame) => [this.parts.self, frame])))
  }

  /** Follows an attempt. @param endIfFiller - ends the attempt if bytes without progress have arrived often */
  begin (endpoint: Endpoint, endIfFiller: () => void): FollowedAttempt {
    const { id } = endpoint
    const running = this.running.get(id) ?? new Set()
    this.running.set(id, running.add(endIfFiller))
    return {
      ended: (isWhole, unbounded) => {
        running.delete(endIfFiller)
        if (running.size === 0 && this.running.get(id) === running) this.running.delete(id)
        if (unbounded !== undefined) this.recordFailure(endpoint, unbounded, 'request')
        else if (isWhole) this.recordAnswer(endpoint)
      }
    }
  }

  /** Records that an endpoint sent a response without an end to this instance. */
  recordFailure ({ id, born }: Pick<Endpoint, 'id' | 'born'>, kind: UnboundedKind, source: UnboundedSource): void {
    const { logger, metrics, broadcast } = this.parts
    metrics.unboundedResponse(kind, source)
    logger.warn('A response had no end.', { endpoint: id, kind, source })
    if (this.count(id, born)) broadcast({ kind: 'unbounded-response', endpoint: id, born, state: 'failed' })
  }

  /** Forgets an endpoint that has left or started again. */
  forget (endpoint: EndpointId): void {
    this.born.delete(endpoint)
    this.ejection.forget(endpoint)
  }

  private recordAnswer ({ id, born }: Endpoint): void {
    if (this.isEmpty || !this.ejection.answered(id, this.parts.clock.now())) return
    this.logRestored(id)
    this.parts.broadcast({ kind: 'unbounded-response', endpoint: id, born, state: 'restored' })
  }

  private receive ({ endpoint, born, state, ejections = 1, milliseconds = 0 }: UnboundedResponseFrame): void {
    const id = endpoint as EndpointId
    const now = this.parts.clock.now()
    if (this.parts.directory.find(id)?.born !== born) return
    if (state === 'failed') this.count(id, born)
    else if (state === 'restored') {
      if (this.ejection.restore(id, now)) this.logRestored(id)
    } else if (this.ejection.adopt({ endpoint: id, ejections, milliseconds }, now)) this.handleEjected(id, born)
  }

  /** Counts a failure. @returns whether it counts, so that the other instances must know of it */
  private count (id: EndpointId, born: number): boolean {
    const decision = this.ejection.failed(id, this.parts.clock.now())
    if (decision === 'ignored') return false
    this.born.set(id, born)
    if (decision === 'ejected') this.handleEjected(id, born)
    // Other running responses that consist of such bytes would only take longer to show the same.
    for (const endIfFiller of [...this.running.get(id) ?? []]) endIfFiller()
    return true
  }

  private handleEjected (id: EndpointId, born: number): void {
    this.born.set(id, born)
    const milliseconds = Math.round(this.ejection.trialFrom(id) - this.parts.clock.now())
    this.parts.logger.warn('An endpoint is out of use at all instances, since its responses have no end.', { endpoint: id, milliseconds })
  }

  private logRestored (endpoint: EndpointId): void {
    this.parts.logger.info('An endpoint whose responses had no end is in use again.', { endpoint })
  }

  private frames (): UnboundedResponseFrame[] {
    return this.ejection.ejected(this.parts.clock.now()).map(({ endpoint, ejections, milliseconds }) => (
      { kind: 'unbounded-response', endpoint, born: this.born.get(endpoint) ?? 0, state: 'out', ejections, milliseconds }
    ))
  }
}
