/** A fleet of instances before one plain service with few slots, under a test's clock and without a network. */
import { LimpetwinchError, silentLogger } from '@limpetwinch/core'
import type { EndpointId, InstanceId } from '@limpetwinch/core'
import { decodeFrame, encodeFrame } from '@limpetwinch/entry'
import type { NoticeFrame } from '@limpetwinch/entry'
import { lentSlots, ownPartOfSlots } from '../../src/places/lent-slots.js'
import { PlaceDesk } from '../../src/places/place-desk.js'
import { ServicePlaces } from '../../src/places/service-places.js'
import { QuotaOwners } from '../../src/quotas/quota-owners.js'
import type { Endpoint, ServiceName } from '../../src/routes/configuration.js'
import { ManualClock } from './manual-clock.js'

export const SERVICE = 'desk' as ServiceName
const OBJECTIVE_MILLISECONDS = 200
const TIMEOUT_MILLISECONDS = 1_000
/** One-way latency between instances, and to an endpoint. */
const LATENCY_MILLISECONDS = 2
const MAINTENANCE_MILLISECONDS = 250
const STEP_MILLISECONDS = 5

/** An endpoint that runs as many requests as it has slots, queues some more and refuses the others. */
export class FewSlotsEndpoint {
  readonly id: EndpointId
  slots = 6
  queue = 24
  born = 1
  workMilliseconds = 80
  /** Requests here now, and the most there have been at one time. */
  present = 0
  most = 0
  private readonly waiting: (() => void)[] = []

  constructor (id: string) {
    this.id = id as EndpointId
  }

  /** @returns whether the request was run */
  async serve (clock: ManualClock, random: () => number): Promise<boolean> {
    if (this.present >= this.slots + this.queue) return false
    this.present += 1
    this.most = Math.max(this.most, this.present)
    if (this.present > this.slots) await new Promise<void>((resolve) => this.waiting.push(resolve))
    await clock.sleep(this.workMilliseconds * (0.5 + random()))
    this.present -= 1
    this.waiting.shift()?.()
    return true
  }
}

/** One instance of the fleet. */
export interface PlaceInstance {
  readonly name: InstanceId
  readonly places: Pick<ServicePlaces, 'take'> & Partial<ServicePlaces>
  readonly receive: (from: InstanceId, frame: NoticeFrame) => void
  /** A paused instance handles nothing until it continues; what arrives waits. */
  isPaused: boolean
  isCutOff: boolean
}

/** What became of one request. */
export interface PlaceResult {
  readonly at: number
  readonly milliseconds: number
  readonly outcome: 'served' | 'refused' | 'full' | 'lost'
}

/** The instances, the endpoints and what became of the requests. */
export class PlaceFleet {
  readonly clock = new ManualClock()
  readonly endpoints = ['one', 'two', 'three'].map((id) => new FewSlotsEndpoint(id))
  readonly results: PlaceResult[] = []
  instances: PlaceInstance[]
  frames = 0
  private readonly random: () => number
  private readonly size: number
  private nextAt: number

  constructor (size: number, random: () => number) {
    this.size = size
    this.random = random
    this.nextAt = this.clock.now()
    this.instances = Array.from({ length: size }, (_, index) => this.equip(`instance-${index}` as InstanceId))
  }

  /** The instance that lends the places, as most instances see it. */
  get owner (): PlaceInstance {
    const { owner } = this.instances.find(({ isCutOff, isPaused }) => !isCutOff && !isPaused)?.places.view?.()[0] ?? {}
    return this.instances.find(({ name }) => name === owner) as PlaceInstance
  }

  /** Sends requests through random instances for some time; the gaps between them are exponential. */
  async run (perSecond: number, milliseconds: number): Promise<void> {
    for (const end = this.clock.now() + milliseconds; this.clock.now() < end;) {
      for (; this.nextAt <= this.clock.now(); this.nextAt -= Math.log(1 - this.random()) * 1_000 / perSecond) void this.request(this.instances[Math.floor(this.random() * this.instances.length)] as PlaceInstance)
      if (this.clock.now() % MAINTENANCE_MILLISECONDS === 0) for (const { places, isPaused } of this.instances) if (!isPaused) places.maintain?.()
      await this.clock.advance(STEP_MILLISECONDS)
    }
    this.nextAt = this.clock.now()
  }

  /** Kills an instance; its requests are lost. */
  kill (killed: PlaceInstance): void {
    this.instances = this.instances.filter((each) => each !== killed)
  }

  /** @returns part of the requests that arrived since a time that were served on time */
  inTime (since = 0): number {
    const all = this.results.filter(({ at }) => at >= since)
    return all.filter(({ outcome, milliseconds }) => outcome === 'served' && milliseconds <= OBJECTIVE_MILLISECONDS).length / all.length
  }

  /** @returns the milliseconds within which this part of the requests with an outcome got it */
  quantile (part: number, outcome: PlaceResult['outcome']): number {
    const sorted = this.results.filter((each) => each.outcome === outcome).map(({ milliseconds }) => milliseconds).sort((one, other) => one - other)
    return sorted[Math.floor(part * sorted.length)] ?? 0
  }

  private async request (instance: PlaceInstance): Promise<void> {
    const { clock } = this
    const at = clock.now()
    const end = (outcome: PlaceResult['outcome']): void => { this.results.push({ at, milliseconds: clock.now() - at, outcome }) }
    if (instance.isPaused) return
    const need = { service: SERVICE, priority: 0, excluded: new Set<EndpointId>(), onTimeAt: at + OBJECTIVE_MILLISECONDS, endsAt: at + TIMEOUT_MILLISECONDS, signal: new AbortController().signal }
    const place = await instance.places.take(need)
    if (place instanceof LimpetwinchError) return end('refused')
    const sentAt = clock.now()
    await clock.sleep(LATENCY_MILLISECONDS)
    const hasRun = await this.endpoints.find(({ id }) => id === place.endpoint)?.serve(clock, this.random)
    await clock.sleep(LATENCY_MILLISECONDS)
    if (!this.instances.includes(instance) || instance.isPaused) return end('lost')
    place.giveBack(hasRun === true ? 'answered' : 'full', clock.now() - sentAt)
    end(hasRun === true ? 'served' : 'full')
  }

  /** Starts an instance. */
  equip (self: InstanceId): PlaceInstance {
    const { clock } = this
    const handlers = new Map<string, (from: InstanceId, frame: NoticeFrame) => void>()
    const endpointsOf = (): Endpoint[] => this.endpoints.map(({ id, slots, born }) => ({ id, slots, born, dataCentre: 'here', service: SERVICE }) as Endpoint)
    const reachable = (): InstanceId[] => this.instances.filter((other) => other.name === self || (!instance.isCutOff && !other.isCutOff)).map(({ name }) => name)
    const shared = { clock, endpointsOf, isReachable: (other: InstanceId) => reachable().includes(other) }
    const places = new ServicePlaces({
      self,
      dataCentre: 'here',
      clock,
      logger: silentLogger(),
      owners: new QuotaOwners({ self, clock, candidates: reachable }),
      owned: new PlaceDesk({ ...shared, lentSlots: (slots) => lentSlots(slots, reachable().length / this.size) }),
      ownPart: new PlaceDesk({ ...shared, lentSlots: (slots) => ownPartOfSlots(slots, this.size) }),
      instances: () => this.size,
      endpointsOf,
      notify: (to, frame) => this.deliver(instance, to, frame)
    })
    places.connect({ onNotice: (kind: string, handler: (from: InstanceId, frame: NoticeFrame) => void) => { handlers.set(kind, handler) } } as never)
    const instance: PlaceInstance = { name: self, places, receive: (from, frame) => handlers.get(frame.kind)?.(from, frame), isPaused: false, isCutOff: false }
    places.isDivided(SERVICE)
    return instance
  }

  private deliver (from: PlaceInstance, to: InstanceId, frame: NoticeFrame): void {
    this.frames += 1
    const bytes = encodeFrame(frame)._unsafeUnwrap()
    void this.clock.sleep(LATENCY_MILLISECONDS).then(async () => {
      const other = this.instances.find(({ name }) => name === to)
      while (other?.isPaused === true) await this.clock.sleep(STEP_MILLISECONDS)
      if (other === undefined || from.isCutOff || other.isCutOff) return
      other.receive(from.name, decodeFrame(bytes)._unsafeUnwrap() as NoticeFrame)
    })
  }
}
