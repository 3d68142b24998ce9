/**
 * Claims for isolated runs. In an isolated run, a request that is suspected of crashing endpoints, itself or by a part of its prompt, is sent by
 * one instance at a time, to an endpoint where no other suspected request runs; requests that are not suspected may run there too. Without
 * claims, copies of the request that arrive at several instances would each crash an endpoint. And when two suspected requests are in flight
 * at one crash, the cause could not be determined. Only when too few endpoints are left do several suspected requests share one (a shared claim).
 */
import type { Clock, EndpointId, InstanceId, RequestTrialFrame } from '@limpetwinch/core'
import type { Suspect } from '@limpetwinch/decisions'

/** Dependencies of the claims. */
export interface IsolatedRunClaimsDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  /** Sends a claim, its progress or its end to all other instances. */
  readonly broadcast: (frame: RequestTrialFrame) => void
  /** Sends an objection to the instance whose claim conflicts with a claim of this instance. */
  readonly notify: (to: InstanceId, frame: RequestTrialFrame) => void
  /** @returns the time within which a message reaches all other instances and their objections arrive here */
  readonly noticeRoundTripMilliseconds: () => number
}

/** Outcome of a claim: `taken` when a copy of the request has a claim already, `occupied` when another suspected request has a claim on the endpoint. */
export type ClaimOutcome = 'granted' | 'taken' | 'occupied'

interface Claim {
  /** The instance that sends the request. */
  readonly instance: InstanceId
  readonly endpoint: EndpointId
  /** Monotonic time at which the claim lapses. */
  readonly until: number
  /** Whether the time for objections of other instances has passed, so that the claim yields to no later claim. */
  readonly isEstablished: boolean
}

/** The claims of this instance and those that it received from other instances. */
export class IsolatedRunClaims {
  private readonly parts: IsolatedRunClaimsDependencies
  private readonly claims = new Map<Suspect, Claim>()

  constructor (parts: IsolatedRunClaimsDependencies) {
    this.parts = parts
  }

  /**
   * Claims the right to run a suspected request on an endpoint, apart from other suspected requests, and waits for objections of other
   * instances. Of two simultaneous claims for one request, the claim of the instance with the lower id wins. Of two simultaneous claims
   * for one endpoint, the claim for the request with the lower fingerprint wins.
   *
   * @param endpoint - where the request is to run
   * @param milliseconds - time after which the claim lapses
   * @param isShared - whether other suspected requests may run on the endpoint at the same time, because too few endpoints are left
   */
  async claim (fingerprint: Suspect, endpoint: EndpointId, milliseconds: number, isShared: boolean): Promise<ClaimOutcome> {
    const { self, clock, broadcast, noticeRoundTripMilliseconds } = this.parts
    if (this.current(fingerprint) !== undefined) return 'taken'
    const own: Claim = { instance: self, endpoint, until: clock.now() + milliseconds, isEstablished: false }
    this.claims.set(fingerprint, own)
    broadcast({ kind: 'request-trial', fingerprint, state: 'claimed', endpoint, milliseconds })
    await clock.sleep(noticeRoundTripMilliseconds())
    if (this.claims.get(fingerprint) !== own) {
      // This claim lost. On some instances it may have arrived last and replaced the winning claim, so its end is announced.
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

  /** Announces that the request of an own claim was sent to its endpoint. */
  sent (fingerprint: Suspect): void {
    const claim = this.current(fingerprint)
    if (claim?.instance !== this.parts.self) return
    this.parts.broadcast(this.frameOf(fingerprint, claim, 'sent'))
  }

  /** Ends an own claim, because its run has ended, and announces the end to all other instances. */
  over (fingerprint: Suspect): void {
    if (this.current(fingerprint)?.instance !== this.parts.self) return
    this.claims.delete(fingerprint)
    this.announceEnd(fingerprint)
  }

  /** @returns endpoints that are claimed for suspected requests other than this one, on any instance */
  occupied (except: Suspect): ReadonlySet<EndpointId> {
    return new Set(this.others(except).map(([, { endpoint }]) => endpoint))
  }

  /** Applies a message of another instance, and objects to a claim that conflicts with an own claim. */
  applyFrame (from: InstanceId, { fingerprint: text, state, endpoint, milliseconds }: RequestTrialFrame): void {
    const fingerprint = text as Suspect
    const current = this.current(fingerprint)
    if (endpoint === undefined) {
      if (current?.instance === from) this.claims.delete(fingerprint)
      return
    }
    if (state === 'claimed') {
      if (current?.instance === this.parts.self && (current.isEstablished || this.parts.self < from)) return this.object(from, fingerprint, current)
      for (const [other, claim] of this.others(fingerprint)) if (claim.endpoint === endpoint && this.isOwnEstablished(claim)) this.object(from, other, claim)
    }
    this.claims.set(fingerprint, { instance: from, endpoint, until: this.parts.clock.now() + milliseconds, isEstablished: state !== 'claimed' })
  }

  private announceEnd (fingerprint: Suspect): void {
    this.parts.broadcast({ kind: 'request-trial', fingerprint, state: 'over', milliseconds: 0 })
  }

  /** Sends an own claim to an instance whose claim conflicts with it. */
  private object (to: InstanceId, fingerprint: Suspect, claim: Claim): void {
    this.parts.notify(to, this.frameOf(fingerprint, claim, 'running'))
  }

  private frameOf (fingerprint: Suspect, { endpoint, until }: Claim, state: 'running' | 'sent'): RequestTrialFrame {
    return { kind: 'request-trial', fingerprint, state, endpoint, milliseconds: Math.max(0, until - this.parts.clock.now()) }
  }

  /** @returns whether another claim for the endpoint takes precedence */
  private mustYield (fingerprint: Suspect, endpoint: EndpointId): boolean {
    return this.others(fingerprint).some(([other, claim]) => claim.endpoint === endpoint && (claim.isEstablished || other < fingerprint))
  }

  private isOwnEstablished (claim: Claim): boolean {
    return claim.isEstablished && claim.instance === this.parts.self
  }

  private others (except: Suspect): (readonly [Suspect, Claim])[] {
    return [...this.claims.keys()].flatMap((fingerprint) => {
      const claim = fingerprint === except ? undefined : this.current(fingerprint)
      return claim === undefined ? [] : [[fingerprint, claim] as const]
    })
  }

  /** @returns the claim for a request, unless it has lapsed */
  private current (fingerprint: Suspect): Claim | undefined {
    const claim = this.claims.get(fingerprint)
    if (claim === undefined || claim.until > this.parts.clock.now()) return claim
    this.claims.delete(fingerprint)
    return undefined
  }
}
