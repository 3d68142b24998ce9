/** The endpoints that have refused requests of this instance and asked it to back off for some time (`retry-after`). */
import type { Clock, EndpointId, EndpointBackoffFrame, InstanceId, Logger } from '@limpetwinch/core'
import type { ResponseFacts } from '../relay/request-codec.js'

/** Longest backoff that is granted at once, in milliseconds. After it, the response to one request shows whether the endpoint still asks for it. */
const LONGEST_BACKOFF_MILLISECONDS = 600_000
/** Time after a backoff in which the endpoint is chosen less readily. An endpoint that had nothing to do looks better than all others. */
const RECOVERY_MILLISECONDS = 2_000
/** Time by which a notice may make a known backoff look longer, in milliseconds. */
const NOTICE_MILLISECONDS = 20
const NONE: ReadonlySet<EndpointId> = new Set()

/** What the backoffs need of the instance. */
export interface EndpointBackoffsDependencies {
  readonly clock: Clock
  readonly logger: Logger
  /** @returns start time of the endpoint's process; undefined when the endpoint is not known */
  readonly bornOf: (endpoint: EndpointId) => number | undefined
  readonly notify: (to: InstanceId, frame: EndpointBackoffFrame) => void
}

/** A backoff that an endpoint has asked for. */
export interface RequestedBackoff {
  readonly endpoint: EndpointId
  /** Start time of the endpoint's process that asked for it. */
  readonly born: number
  readonly milliseconds: number
}

interface KnownBackoff {
  readonly born: number
  /** Monotonic time at which the backoff ends. */
  until: number
}

/**
 * The endpoints that get no requests from this instance for some time. A backoff belongs to the endpoint and the instance that it answered; other
 * instances go on. For a request through a tunnel, the endpoint answered the instance that carries the tunnel: that one is told, and it tells the
 * others whose tunnels to the endpoint it carries.
 */
export class EndpointBackoffs {
  private readonly parts: EndpointBackoffsDependencies
  private readonly backoffs = new Map<EndpointId, KnownBackoff>()
  private readonly malformed = new Set<EndpointId>()
  private carriedFor: (endpoint: EndpointId) => readonly InstanceId[] = () => []

  constructor (parts: EndpointBackoffsDependencies) {
    this.parts = parts
  }

  /** Whether no endpoint asks to back off or did a moment ago. */
  get isEmpty (): boolean {
    return this.backoffs.size === 0
  }

  /** @param carriedFor - returns the instances for which this one carries tunnels to an endpoint */
  connect (carriedFor: (endpoint: EndpointId) => readonly InstanceId[]): void {
    this.carriedFor = carriedFor
  }

  /**
   * Records what a response of an endpoint to a request of this instance states.
   *
   * @param born - start time of the endpoint's process that the request was sent to
   * @param via - the instance whose tunnel carried the request; undefined for the own path
   */
  recordResponse (endpoint: EndpointId, { backoffMilliseconds, answeredBy }: ResponseFacts, born: number, via?: InstanceId): void {
    if (backoffMilliseconds === undefined || backoffMilliseconds === 0) return
    // Another endpoint may listen at the address by now.
    if (answeredBy !== undefined && answeredBy !== endpoint) return
    if (backoffMilliseconds === 'malformed') return this.logMalformed(endpoint)
    const backoff = { endpoint, born, milliseconds: backoffMilliseconds }
    if (via !== undefined) this.parts.notify(via, { kind: 'endpoint-backoff', ...backoff })
    this.begin(backoff)
  }

  /** Handles what another instance was told by an endpoint, by a request that this one carried or that was carried for this one. */
  handleNotice ({ endpoint, born, milliseconds }: EndpointBackoffFrame): void {
    this.begin({ endpoint: endpoint as EndpointId, born, milliseconds })
  }

  /** Begins a backoff. One that ends sooner than the one in progress changes nothing: the endpoint asked for each of them. */
  private begin ({ endpoint, born, milliseconds }: RequestedBackoff): void {
    const { clock, logger, bornOf } = this.parts
    if (bornOf(endpoint) !== born) return
    const bounded = Math.min(milliseconds, LONGEST_BACKOFF_MILLISECONDS)
    const until = clock.now() + bounded
    const known = this.backoffs.get(endpoint)
    // A notice about a backoff that is already known arrives somewhat later than the response, and must not go round.
    if (known !== undefined && known.until >= until - NOTICE_MILLISECONDS) return
    const isNew = known === undefined || known.until <= clock.now()
    this.backoffs.set(endpoint, { born, until })
    if (isNew) logger.info('An endpoint asked to back off.', { endpoint, milliseconds: bounded })
    for (const instance of this.carriedFor(endpoint)) this.parts.notify(instance, { kind: 'endpoint-backoff', endpoint, born, milliseconds: bounded })
  }

  /** @returns whether the endpoint must get nothing from this instance now */
  isBackingOff (endpoint: EndpointId): boolean {
    return this.millisecondsLeft(endpoint) > 0
  }

  /** @returns milliseconds until the endpoint may get requests again; 0 if it may */
  millisecondsLeft (endpoint: EndpointId): number {
    if (this.isEmpty) return 0
    return Math.max(0, (this.backoffs.get(endpoint)?.until ?? -Infinity) - this.parts.clock.now())
  }

  /** @returns the endpoints that must get nothing from this instance now */
  backingOff (): ReadonlySet<EndpointId> {
    return this.isEmpty ? NONE : new Set([...this.backoffs.keys()].filter((endpoint) => this.isBackingOff(endpoint)))
  }

  /** @returns how much less readily the endpoint should be chosen, from 1 at the end of its backoff to 0 some time later */
  penalty (endpoint: EndpointId): number {
    if (this.isEmpty) return 0
    const { until } = this.backoffs.get(endpoint) ?? { until: -Infinity }
    return Math.max(0, Math.min(1, 1 - (this.parts.clock.now() - until) / RECOVERY_MILLISECONDS))
  }

  /** Forgets backoffs that ended some time ago; called periodically. */
  maintain (): void {
    const now = this.parts.clock.now()
    for (const [endpoint, { until }] of this.backoffs) if (until + RECOVERY_MILLISECONDS <= now) this.backoffs.delete(endpoint)
  }

  /** Forgets the backoff that an earlier process of an endpoint asked for, or all of an endpoint that has left. */
  forget (endpoint: EndpointId): void {
    const { bornOf } = this.parts
    this.malformed.delete(endpoint)
    if (this.backoffs.get(endpoint)?.born !== bornOf(endpoint)) this.backoffs.delete(endpoint)
  }

  private logMalformed (endpoint: EndpointId): void {
    if (this.malformed.has(endpoint)) return
    this.malformed.add(endpoint)
    this.parts.logger.warn('An endpoint asked to back off with a value that cannot be read.', { endpoint })
  }
}
