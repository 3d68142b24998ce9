/**
 * Has a suspected request run by one instance at a time, and on an endpoint where no other suspected request runs. Without that,
 * copies that come to several instances at once would crash an endpoint each, and of two requests that are aboard at one crash
 * nobody could tell which caused it.
 */
import type { Clock, EndpointId, InstanceId, RequestTrialFrame } from '@limpetwinch/core'
import type { RequestFingerprint } from '@limpetwinch/decisions'

/** What the claims need. */
export interface IsolatedRunClaimsDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  /** Tells all other instances. */
  readonly broadcast: (frame: RequestTrialFrame) => void
  /** Tells one instance. */
  readonly notify: (to: InstanceId, frame: RequestTrialFrame) => void
  /** @returns within what time all others have heard a notice, and their objection is here */
  readonly noticeMilliseconds: () => number
}

/** What became of a claim; `occupied` says that another suspected request runs on the endpoint. */
export type ClaimOutcome = 'granted' | 'taken' | 'occupied'

interface Claim {
  readonly instance: InstanceId
  readonly endpoint: EndpointId
  readonly until: number
  /** Whether everybody had time to object. */
  readonly isEstablished: boolean
}

/** The claims that this instance has made or heard of. */
export class IsolatedRunClaims {
  private readonly parts: IsolatedRunClaimsDependencies
  private readonly claims = new Map<RequestFingerprint, Claim>()

  constructor (parts: IsolatedRunClaimsDependencies) {
    this.parts = parts
  }

  /**
   * Claims a request for this instance. Of two claims at the same time for one request that of the lower instance id holds, of two
   * for one endpoint that of the lower fingerprint.
   *
   * @param endpoint - where it is to run
   * @param milliseconds - how long it may last
   * @param isShared - whether others may run on the endpoint as well
   */
  async claim (fingerprint: RequestFingerprint, endpoint: EndpointId, milliseconds: number, isShared: boolean): Promise<ClaimOutcome> {
    const { self, clock, broadcast, noticeMilliseconds } = this.parts
    if (this.current(fingerprint) !== undefined) return 'taken'
    const own: Claim = { instance: self, endpoint, until: clock.now() + milliseconds, isEstablished: false }
    this.claims.set(fingerprint, own)
    broadcast({ kind: 'request-trial', fingerprint, state: 'claimed', endpoint, milliseconds })
    await clock.sleep(noticeMilliseconds())
    if (this.claims.get(fingerprint) !== own) {
      // Others may have heard this claim last.
      this.announceEnd(fingerprint)
      return 'taken'
    }
    if (!isShared && this.mustYield(fingerprint, endpoint)) {
      this.over(fingerprint)
      return 'occupied'
    }
    this.claims.set(fingerprint, { ...own, isEstablished: true })
    return 'granted'
  }

  /** The request has reached its endpoint. */
  sent (fingerprint: RequestFingerprint): void {
    const claim = this.current(fingerprint)
    if (claim?.instance !== this.parts.self) return
    this.parts.broadcast(this.frameOf(fingerprint, claim, 'sent'))
  }

  /** The request runs no more. */
  over (fingerprint: RequestFingerprint): void {
    if (this.current(fingerprint)?.instance !== this.parts.self) return
    this.claims.delete(fingerprint)
    this.announceEnd(fingerprint)
  }

  /** @returns endpoints on which other suspected requests run */
  occupied (except: RequestFingerprint): ReadonlySet<EndpointId> {
    return new Set(this.others(except).map(([, { endpoint }]) => endpoint))
  }

  /** Takes the word of another instance. */
  applyFrame (from: InstanceId, { fingerprint: text, state, endpoint, milliseconds }: RequestTrialFrame): void {
    const fingerprint = text as RequestFingerprint
    const present = this.current(fingerprint)
    if (endpoint === undefined) {
      if (present?.instance === from) this.claims.delete(fingerprint)
      return
    }
    if (state === 'claimed') {
      if (present?.instance === this.parts.self && (present.isEstablished || this.parts.self < from)) return this.object(from, fingerprint, present)
      for (const [other, claim] of this.others(fingerprint)) if (claim.endpoint === endpoint && this.isOwnEstablished(claim)) this.object(from, other, claim)
    }
    this.claims.set(fingerprint, { instance: from, endpoint, until: this.parts.clock.now() + milliseconds, isEstablished: state !== 'claimed' })
  }

  private announceEnd (fingerprint: RequestFingerprint): void {
    this.parts.broadcast({ kind: 'request-trial', fingerprint, state: 'over', milliseconds: 0 })
  }

  private object (to: InstanceId, fingerprint: RequestFingerprint, claim: Claim): void {
    this.parts.notify(to, this.frameOf(fingerprint, claim, 'running'))
  }

  private frameOf (fingerprint: RequestFingerprint, { endpoint, until }: Claim, state: 'running' | 'sent'): RequestTrialFrame {
    return { kind: 'request-trial', fingerprint, state, endpoint, milliseconds: Math.max(0, until - this.parts.clock.now()) }
  }

  private mustYield (fingerprint: RequestFingerprint, endpoint: EndpointId): boolean {
    return this.others(fingerprint).some(([other, claim]) => claim.endpoint === endpoint && (claim.isEstablished || other < fingerprint))
  }

  private isOwnEstablished (claim: Claim): boolean {
    return claim.isEstablished && claim.instance === this.parts.self
  }

  private others (except: RequestFingerprint): (readonly [RequestFingerprint, Claim])[] {
    return [...this.claims.keys()].flatMap((fingerprint) => {
      const claim = fingerprint === except ? undefined : this.current(fingerprint)
      return claim === undefined ? [] : [[fingerprint, claim] as const]
    })
  }

  private current (fingerprint: RequestFingerprint): Claim | undefined {
    const claim = this.claims.get(fingerprint)
    if (claim === undefined || claim.until > this.parts.clock.now()) return claim
    this.claims.delete(fingerprint)
    return undefined
  }
}
