/** Endpoints that crash when they have to refuse too many requests in a second, and the rate that keeps all instances together clear of that. */
import type { BrittleEndpointFrame, EndpointId } from '@limpetwinch/core'
import { BrittleThrottle } from '@limpetwinch/decisions'
import type { QuotaRate } from '@limpetwinch/decisions'
import type { ResponseFacts } from '../relay/request-codec.js'
import { StatedLimits } from './stated-limits.js'
import type { StatedLimitFrame } from './stated-limits.js'
import type { StatedRateLimit } from './stated-rate-limit.js'

/** Part of the slots that may be taken at one time by requests that come together; the others are taken evenly. */
const BURST_SHARE = 1 / 3

/** The endpoints that state how many refusals they bear. What they bear is never used up: the rate is the one at which they refuse hardly any. */
export class BrittleEndpoints extends StatedLimits<BrittleEndpointFrame> {
  private readonly throttles = new Map<EndpointId, BrittleThrottle>()
  /** Refusals that this instance has seen and not told the others of yet. */
  private readonly untold = new Map<EndpointId, number>()

  /** Records the duration of a request that the endpoint served in whole. */
  recordDuration (endpoint: EndpointId, milliseconds: number): void {
    this.throttleOf(endpoint).recordDuration(milliseconds)
  }

  /** @param slots - requests that the endpoint runs at one time @returns the quota of all instances together; undefined for no limit */
  rateOf (endpoint: EndpointId, slots: number): QuotaRate | undefined {
    if (this.isEmpty || this.limit(endpoint) === undefined) return undefined
    return { tokensPerSecond: this.throttleOf(endpoint).ratePerSecond(slots, this.parts.clock.now()), capacity: Math.max(1, slots * BURST_SHARE) }
  }

  override recordResponse (endpoint: EndpointId, facts: ResponseFacts, sentAt: number): void {
    super.recordResponse(endpoint, facts, sentAt)
    const bearable = this.limit(endpoint)
    if (!facts.isFull || bearable === undefined) return
    this.throttleOf(endpoint).recordRefusals(1, bearable, this.parts.clock.now())
    this.untold.set(endpoint, (this.untold.get(endpoint) ?? 0) + 1)
    this.announceChange(endpoint)
  }

  override handleNotice (frame: BrittleEndpointFrame): void {
    super.handleNotice(frame)
    const endpoint = frame.endpoint as EndpointId
    if (this.parts.bornOf(endpoint) !== frame.born) return
    const throttle = this.throttleOf(endpoint)
    const bearable = this.limit(endpoint)
    if (frame.refusals > 0 && bearable !== undefined) throttle.recordRefusals(frame.refusals, bearable, this.parts.clock.now())
    if (frame.meanMilliseconds !== undefined) throttle.recordDuration(frame.meanMilliseconds)
  }

  override forget (endpoint: EndpointId): void {
    super.forget(endpoint)
    this.throttles.delete(endpoint)
    this.untold.delete(endpoint)
  }

  protected override limitOf ({ refusalLimit }: ResponseFacts): StatedRateLimit {
    return refusalLimit
  }

  protected override toFrame (fields: StatedLimitFrame): BrittleEndpointFrame {
    const endpoint = fields.endpoint as EndpointId
    const refusals = this.untold.get(endpoint) ?? 0
    this.untold.delete(endpoint)
    return { kind: 'brittle-endpoint', ...fields, refusals, meanMilliseconds: this.throttles.get(endpoint)?.meanMilliseconds }
  }

  protected override logChange (endpoint: EndpointId, refusalsPerSecond: number | undefined, previous: number | undefined, source: 'response' | 'peer'): void {
    if (refusalsPerSecond === undefined) this.parts.logger.info('An endpoint is brittle no more.', { endpoint, previous, source })
    else this.parts.logger.info('An endpoint is brittle.', { endpoint, refusalsPerSecond, previous, source })
  }

  protected override logMalformed (endpoint: EndpointId): void {
    this.parts.logger.debug('An endpoint stated refusals that cannot be read.', { endpoint })
  }

  private throttleOf (endpoint: EndpointId): BrittleThrottle {
    const throttle = this.throttles.get(endpoint) ?? new BrittleThrottle(this.parts.clock.now())
    this.throttles.set(endpoint, throttle)
    return throttle
  }
}
