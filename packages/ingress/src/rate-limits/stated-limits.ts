/** The limits that endpoints under stress state in their responses, as this and the other instances have read them. */
import type { Clock, EndpointId, Logger, RateLimitFrame } from '@limpetwinch/core'
import { NamedRateLimit } from '@limpetwinch/decisions'
import type { RateLimitStatement } from '@limpetwinch/decisions'
import type { ResponseFacts } from '../relay/request-codec.js'
import type { StatedRateLimit } from './stated-rate-limit.js'

/**
 * Interval in which an instance that reads a limit again and again tells the others, in milliseconds. A notice may be lost with
 * its connection; it is then made good within this time.
 */
const ANNOUNCEMENT_MILLISECONDS = 1_000
/** Least time between two notices of an instance on one endpoint, in milliseconds: an endpoint may name another value in each response. */
const CHANGE_MILLISECONDS = 200

/** The part of a notice that all kinds of limits have. */
export type StatedLimitFrame = Omit<RateLimitFrame, 'kind'>

/** What the limits need of the instance. */
export interface StatedLimitsDependencies<Frame extends StatedLimitFrame> {
  readonly clock: Clock
  readonly logger: Logger
  /** @returns start time of the endpoint's process; undefined when the endpoint is not known */
  readonly bornOf: (endpoint: EndpointId) => number | undefined
  readonly broadcast: (frame: Frame) => void
  /** @returns time in milliseconds in which a notice reaches another instance and its reply arrives, at most */
  readonly noticeRoundTripMilliseconds: () => number
}

interface KnownLimit {
  readonly named: NamedRateLimit
  /** Monotonic time of the latest response with which this instance has read the statement in force. */
  readAt: number
  /** Monotonic time of the latest notice to the others. */
  announcedAt: number
  /** Whether the others have not been told yet of a change that this instance has read. */
  hasChanged: boolean
}

/** The limits of one kind of all endpoints that state one. */
export abstract class StatedLimits<Frame extends StatedLimitFrame> {
  protected readonly parts: StatedLimitsDependencies<Frame>
  private readonly limits = new Map<EndpointId, KnownLimit>()

  constructor (parts: StatedLimitsDependencies<Frame>) {
    this.parts = parts
  }

  /** Whether no endpoint has a limit or had one a moment ago. */
  get isEmpty (): boolean {
    return this.limits.size === 0
  }

  /** Number of endpoints with a limit, or whose rate returns after its end. */
  get count (): number {
    return [...this.limits.keys()].filter((endpoint) => this.limit(endpoint) !== undefined).length
  }

  /** @returns the limit in force, which returns in steps after its end; undefined for no limit */
  limit (endpoint: EndpointId): number | undefined {
    return this.limits.get(endpoint)?.named.ratePerSecond(this.parts.clock.now())
  }

  /** @returns endpoints with a limit, or whose rate returns after its end */
  limited (): EndpointId[] {
    return [...this.limits.keys()].filter((endpoint) => this.limit(endpoint) !== undefined)
  }

  /**
   * Records what a response of an endpoint to a request of this instance states.
   *
   * @param sentAt - monotonic time at which the request was sent
   */
  recordResponse (endpoint: EndpointId, facts: ResponseFacts, sentAt: number): void {
    const limit = this.limitOf(facts)
    if (limit === undefined && this.isEmpty) return
    // A malformed value says neither a limit nor its end, and a response that the endpoint has not signed may come from another one.
    if (limit === 'malformed') return this.logMalformed(endpoint)
    if (limit === undefined && !facts.signed) return
    const now = this.parts.clock.now()
    if (!this.merge(endpoint, { limit, sentAt, readAt: now }, 'response')) return
    const known = this.limits.get(endpoint)
    if (known !== undefined) known.readAt = now
    this.announceChange(endpoint)
  }

  /** Merges what another instance has read. */
  handleNotice (frame: Frame): void {
    const { clock, bornOf, noticeRoundTripMilliseconds } = this.parts
    const endpoint = frame.endpoint as EndpointId
    if (bornOf(endpoint) !== frame.born) return
    const now = clock.now()
    this.merge(endpoint, {
      limit: frame.limit,
      // The time that the notice took is not known, so that the request may have been sent earlier than the frame says.
      sentAt: now - frame.sentMillisecondsAgo - noticeRoundTripMilliseconds(),
      readAt: now - frame.readMillisecondsAgo
    }, 'peer')
  }

  /** @returns notices on all limits, for an instance that has just connected */
  frames (): Frame[] {
    return [...this.limits].map(([endpoint, known]) => this.frameOf(endpoint, known)).filter((frame) => frame !== undefined)
  }

  /** Tells the others of limits that this instance goes on to read, and forgets limits that ended long ago; called periodically. */
  maintain (): void {
    const now = this.parts.clock.now()
    for (const [endpoint, known] of this.limits) {
      if (known.named.isForgotten(now)) this.limits.delete(endpoint)
      else this.announceWhenDue(endpoint, known)
    }
  }

  /** Forgets an endpoint that has left or restarted. */
  forget (endpoint: EndpointId): void {
    this.limits.delete(endpoint)
  }

  /** @returns the limit of this kind that a response states */
  protected abstract limitOf (facts: ResponseFacts): StatedRateLimit

  /** @returns the notice on a limit */
  protected abstract toFrame (fields: StatedLimitFrame): Frame

  /** Logs that an endpoint stated another limit, or none any more. */
  protected abstract logChange (endpoint: EndpointId, limit: number | undefined, previous: number | undefined, source: 'response' | 'peer'): void

  protected abstract logMalformed (endpoint: EndpointId): void

  /** Tells the others of a change of an endpoint with a limit, soon. */
  protected announceChange (endpoint: EndpointId): void {
    const known = this.limits.get(endpoint)
    if (known === undefined) return
    known.hasChanged = true
    this.announceWhenDue(endpoint, known)
  }

  /** @returns whether the limit has changed */
  private merge (endpoint: EndpointId, statement: RateLimitStatement, source: 'response' | 'peer'): boolean {
    const known = this.limits.get(endpoint)
    const previous = known?.named.limit
    if (known === undefined) return this.open(endpoint, statement, source)
    const effect = known.named.apply(statement)
    if (effect === 'confirmed' && source === 'response') known.readAt = statement.readAt
    if (effect === 'changed') this.logChange(endpoint, statement.limit, previous, source)
    return effect === 'changed'
  }

  private open (endpoint: EndpointId, { limit, ...times }: RateLimitStatement, source: 'response' | 'peer'): boolean {
    if (limit === undefined) return false
    this.limits.set(endpoint, { named: new NamedRateLimit({ limit, ...times }), readAt: -Infinity, announcedAt: -Infinity, hasChanged: false })
    this.logChange(endpoint, limit, undefined, source)
    return true
  }

  private announceWhenDue (endpoint: EndpointId, known: KnownLimit): void {
    const { readAt, announcedAt, hasChanged } = known
    const now = this.parts.clock.now()
    const isNews = hasChanged || readAt > announcedAt
    if (!isNews || now - announcedAt < (hasChanged ? CHANGE_MILLISECONDS : ANNOUNCEMENT_MILLISECONDS)) return
    const frame = this.frameOf(endpoint, known)
    if (frame === undefined) return
    known.announcedAt = now
    known.hasChanged = false
    this.parts.broadcast(frame)
  }

  /** @returns the notice on a limit; undefined when the endpoint has left */
  private frameOf (endpoint: EndpointId, { named }: KnownLimit): Frame | undefined {
    const { clock, bornOf } = this.parts
    const born = bornOf(endpoint)
    if (born === undefined) return undefined
    const now = clock.now()
    const { limit, sentAt, readAt } = named.statement
    return this.toFrame({ endpoint, born, limit, sentMillisecondsAgo: Math.max(0, now - sentAt), readMillisecondsAgo: Math.max(0, now - readAt) })
  }
}
