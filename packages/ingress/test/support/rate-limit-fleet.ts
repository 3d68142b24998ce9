/** A fleet of instances before one endpoint that names rate limits and does not enforce them, under a test's clock and without a network. */
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId, FrameOf, InstanceId, RateLimitFrame } from '@limpetwinch/core'
import type { NoticeFrame } from '@limpetwinch/entry'
import { QuotaOwners } from '../../src/quotas/quota-owners.js'
import { BrittleEndpoints } from '../../src/rate-limits/brittle-endpoints.js'
import { EndpointRateLimiter } from '../../src/rate-limits/endpoint-rate-limiter.js'
import { EndpointBackoffs } from '../../src/rate-limits/endpoint-backoffs.js'
import { NamedRateLimits } from '../../src/rate-limits/named-rate-limits.js'
import type { StatedLimitsDependencies } from '../../src/rate-limits/stated-limits.js'
import { ManualClock } from './manual-clock.js'
import { responseFacts } from './samples.js'
import { SimulatedNetwork } from './simulated-links.js'
import type { SimulatedInstance } from './simulated-links.js'

export const ENDPOINT = 'i-limited' as EndpointId
export const WINDOW_MILLISECONDS = 4_000
/** Time after which a limit that was named for the first time must hold. */
export const STABILITY_MILLISECONDS = 3_000
/** Time in which the first response with a limit reaches all instances; requests that were sent before may still arrive. */
const ONSET_MILLISECONDS = 1_000
const BORN = 100
const STEP_MILLISECONDS = 20
const MAINTENANCE_MILLISECONDS = 240
const MILLISECONDS_TO_ENDPOINT = 2

/** How the instances of a fleet keep limits; tests replace parts to show that a check catches what goes wrong without them. */
export interface FleetBehaviour {
  readonly createLimits: (parts: StatedLimitsDependencies<RateLimitFrame>) => NamedRateLimits
  /** Whether each instance divides all limits by itself. */
  readonly dividesAlone: boolean
  /** Part of all instances that an instance believes to reach, instead of the one that it reaches. */
  readonly believedShare: number | undefined
}

const DEFAULT_BEHAVIOUR: FleetBehaviour = { createLimits: (parts) => new NamedRateLimits(parts), dividesAlone: false, believedShare: undefined }

/** One instance of the fleet. */
export interface LimitingInstance {
  readonly simulated: SimulatedInstance
  readonly limits: NamedRateLimits
  readonly limiter: EndpointRateLimiter
}

/** A request that reached the endpoint. */
interface Arrival {
  readonly at: number
  readonly limit: number | undefined
}

/** The fleet, its endpoint and the requests that the endpoint received. */
export class RateLimitFleet {
  readonly clock = new ManualClock()
  readonly network = new SimulatedNetwork(this.clock)
  instances: LimitingInstance[]
  /** The limit that the endpoint names at present. */
  limit: number | undefined
  /** Time from a request to its response, milliseconds; called for each request. */
  responseMilliseconds: () => number = () => 50
  readonly arrivals: Arrival[] = []
  private readonly behaviour: FleetBehaviour
  private readonly random: () => number
  private firstNamedAt = Infinity
  private passed = 0
  private due = 0

  /** @param random - returns a number from 0 to 1 */
  constructor (dataCentres: number, perDataCentre: number, random: () => number, behaviour: Partial<FleetBehaviour> = {}) {
    this.behaviour = { ...DEFAULT_BEHAVIOUR, ...behaviour }
    this.random = random
    this.network.start(dataCentres, perDataCentre)
    this.instances = this.network.instances.map((simulated) => this.equip(simulated))
  }

  /** Sends requests with priorities from 0 to 2 through random instances for some time. */
  async flood (perSecond: number, milliseconds: number): Promise<void> {
    for (const end = this.passed + milliseconds; this.passed < end; this.passed += STEP_MILLISECONDS) {
      this.due += perSecond * STEP_MILLISECONDS / 1_000
      for (; this.due >= 1; this.due--) this.request(this.instances[Math.floor(this.random() * this.instances.length)] as LimitingInstance)
      if (this.passed % MAINTENANCE_MILLISECONDS === 0) for (const { limiter } of this.instances) limiter.maintain()
      await this.clock.advance(STEP_MILLISECONDS)
    }
  }

  /** Kills an instance. */
  kill (killed: LimitingInstance): void {
    this.network.kill(killed.simulated)
    this.instances = this.instances.filter((each) => each !== killed)
  }

  /** Kills an instance and starts another process on its host, which knows no limits. */
  restart (killed: LimitingInstance): void {
    this.kill(killed)
    this.instances.push(this.equip(this.network.restart(killed.simulated)))
  }

  /** @returns number of requests that reached the endpoint in a period */
  arrivedBetween (from: number, to: number): number {
    return this.arrivals.filter(({ at }) => at > from && at <= to).length
  }

  /**
   * @returns by how many requests the most loaded window that must keep the limit exceeds what is allowed; 0 or less if none does. A
   *   window is judged by the highest limit that was named in it.
   */
  get excess (): number {
    const counted = this.arrivals.filter(({ at }) => at >= this.firstNamedAt + ONSET_MILLISECONDS)
    const ends = counted.filter(({ at }) => at >= this.firstNamedAt + STABILITY_MILLISECONDS)
    return Math.max(0, ...ends.map(({ at }) => {
      const window = counted.filter((other) => other.at > at - WINDOW_MILLISECONDS && other.at <= at)
      const highest = Math.max(...window.map(({ limit }) => limit ?? Infinity))
      return window.length - (1.5 * WINDOW_MILLISECONDS / 1_000 * highest + 5)
    }))
  }

  /** Ends the tasks of all instances. */
  end (): void {
    this.network.end()
  }

  private request ({ limiter, limits, simulated }: LimitingInstance): void {
    const priority = Math.floor(this.random() * 3)
    if (limiter.withoutRoom(priority).has(ENDPOINT)) return
    void limiter.admit(ENDPOINT, priority).then(async (isAdmitted) => {
      if (!isAdmitted || !simulated.links.isUp) return
      const sentAt = this.clock.now()
      await this.clock.sleep(MILLISECONDS_TO_ENDPOINT)
      const { limit } = this
      const now = this.clock.now()
      if (limit !== undefined) this.firstNamedAt = Math.min(this.firstNamedAt, now)
      this.arrivals.push({ at: now, limit })
      await this.clock.sleep(this.responseMilliseconds())
      if (simulated.links.isUp) limits.recordResponse(ENDPOINT, responseFacts({ rateLimit: limit }), sentAt)
    })
  }

  private equip (simulated: SimulatedInstance): LimitingInstance {
    const { clock, behaviour } = this
    const { overlay, links, member } = simulated
    const self = member.instance
    const handlers = new Map<string, (from: InstanceId, frame: FrameOf<'rate-ask' | 'rate-answer'>) => void>()
    const notify = (to: InstanceId, frame: NoticeFrame): void => {
      if (to === self) queueMicrotask(() => handlers.get(frame.kind)?.(self, frame as FrameOf<'rate-ask'>))
      else overlay.notify(to, frame)
    }
    const isReachable = (instance: InstanceId): boolean => instance === self || overlay.isReachable(instance)
    const members = (): readonly InstanceId[] => [...new Map(this.network.instances.map(({ member: { name, instance } }) => [name, instance])).values()]
    const stated = {
      clock,
      logger: silentLogger(),
      bornOf: () => BORN,
      broadcast: (frame: NoticeFrame) => overlay.broadcast(frame),
      noticeRoundTripMilliseconds: () => overlay.noticeRoundTripMilliseconds
    }
    const limits = behaviour.createLimits(stated)
    const limiter = new EndpointRateLimiter({
      self,
      clock,
      limits,
      brittle: new BrittleEndpoints(stated),
      backoffs: new EndpointBackoffs({ ...stated, notify }),
      slotsOf: () => 6,
      owners: new QuotaOwners({ self, clock, candidates: () => behaviour.dividesAlone ? [] : overlay.usableHubs() }),
      instances: () => members().length,
      reachableShare: () => behaviour.believedShare ?? members().filter(isReachable).length / members().length,
      isReachable,
      notify,
      endpointsOf: () => [ENDPOINT]
    })
    limiter.connect({
      onNotice: (kind: string, handler: (from: InstanceId, frame: NoticeFrame) => void) => {
        handlers.set(kind, handler as never)
        links.onNotice(kind as 'rate-limit', handler as never)
      }
    } as never, overlay)
    return { simulated, limits, limiter }
  }
}
