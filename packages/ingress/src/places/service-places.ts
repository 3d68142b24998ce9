/**
 * Takes places for the requests of this instance at plain services whose slots are few against the instances: asks the place owner of the
 * service right before a request is sent, and uses its own part of the slots while no owner answers.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EndpointId, FrameOf, InstanceId, Logger } from '@limpetwinch/core'
import type { PlaceDecision, PlaceEnd, PlaceView } from '@limpetwinch/decisions'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import type { QuotaOwners } from '../quotas/quota-owners.js'
import type { Endpoint, ServiceName } from '../routes/configuration.js'
import type { NumberedPlaceAsk, PlaceDesk } from './place-desk.js'

/** Most slots per instance with which the places of a service are divided. With more, each instance has a share that it can manage by itself. */
const FEW_SLOTS_PER_INSTANCE = 2
/** Part of the time until a request is late for which it waits for the first answer of the place owner, and the bounds of that wait in milliseconds. */
const ANSWER_SHARE = 0.2
const SHORTEST_ANSWER_MILLISECONDS = 15
const LONGEST_ANSWER_MILLISECONDS = 100
/** Time that a queued request waits beyond the expected one before its place owner counts as gone, in milliseconds. */
const QUEUE_SLACK_MILLISECONDS = 100
/** Time for which no asks are sent to a place owner that did not answer, in milliseconds. */
const SILENT_MILLISECONDS = 500

/** A request that needs a place. */
export interface PlaceNeed {
  readonly service: ServiceName
  readonly priority: number
  /** Endpoints that the request must not be sent to. */
  readonly excluded: ReadonlySet<EndpointId>
  /** Monotonic time until which the answer is on time. */
  readonly onTimeAt: number
  /** Monotonic time at which the request times out. */
  readonly endsAt: number
  readonly signal: AbortSignal
}

/** A place that a request has taken; it must be given back at the end of the attempt. */
export interface TakenPlace {
  readonly endpoint: EndpointId
  /** @param milliseconds - time from the sending of the request to the end of its answer */
  readonly giveBack: (end: PlaceEnd, milliseconds: number) => void
}

/** What became of an ask, as counted by the metrics. */
export type PlaceOutcome = 'granted' | 'refused' | 'own-part' | 'own-part-refused'

/** What the places need of the instance. */
export interface ServicePlacesDependencies {
  readonly self: InstanceId
  readonly dataCentre: string
  readonly clock: Clock
  readonly logger: Logger
  readonly owners: QuotaOwners
  /** Lends the places of the services that this instance owns. */
  readonly owned: PlaceDesk
  /** Lends this instance's own part while no owner answers. */
  readonly ownPart: PlaceDesk
  /** @returns number of registered instances */
  readonly instances: () => number
  /** @returns endpoints of the service that may get requests */
  readonly endpointsOf: (service: ServiceName) => readonly Endpoint[]
  readonly notify: (to: InstanceId, frame: NoticeFrame) => void
  /** Called when an ask is decided. */
  readonly onDecision?: (service: ServiceName, outcome: PlaceOutcome, milliseconds: number) => void
}

/** The places of one service as operators see them. */
export interface ServicePlacesView {
  readonly service: ServiceName
  /** The instance that lends the places of the service. */
  readonly owner: InstanceId
  /** The endpoints as far as this instance knows: all places at the owner, the own part elsewhere. */
  readonly endpoints: readonly PlaceView[]
  readonly waiting: number
}

type Answer = FrameOf<'place-answer'>

interface OpenAsk {
  readonly owner: InstanceId
  readonly receive: (answer: Pick<Answer, 'decision' | 'endpoint' | 'milliseconds'>) => void
}

/** Takes and gives back places. */
export class ServicePlaces {
  private readonly parts: ServicePlacesDependencies
  private readonly open = new Map<number, OpenAsk>()
  private readonly silentUntil = new Map<InstanceId, number>()
  private readonly divided = new Set<ServiceName>()
  private asks = 0

  constructor (parts: ServicePlacesDependencies) {
    this.parts = parts
  }

  /** Registers the handlers of the notices. */
  connect (network: Pick<PeerLinks, 'onNotice'>): void {
    network.onNotice('place-ask', (from, frame) => this.handleAsk(from, frame))
    network.onNotice('place-answer', (from, frame) => this.handleAnswer(from, frame))
    network.onNotice('place-return', (from, { service, number, end, milliseconds }) => this.parts.owned.giveBack(service as ServiceName, from, number, end, milliseconds))
  }

  /** @returns whether requests to the plain service need places: its slots are few against the instances, of which there are several */
  isDivided (service: ServiceName): boolean {
    const { instances, endpointsOf, logger } = this.parts
    const count = instances()
    const slots = endpointsOf(service).reduce((sum, endpoint) => sum + endpoint.slots, 0)
    const isDivided = count > 1 && slots > 0 && slots <= FEW_SLOTS_PER_INSTANCE * count
    if (isDivided !== this.divided.has(service)) {
      if (isDivided) this.divided.add(service)
      else this.divided.delete(service)
      logger.info(isDivided ? 'The places of a service are divided between the instances.' : 'The places of a service are no longer divided.', { service, slots, instances: count })
    }
    return isDivided
  }

  /** Takes a place for a request. @returns the place, or `places-taken` with the time until one is expected */
  async take (need: PlaceNeed): Promise<TakenPlace | LimpetwinchError> {
    const { clock, onDecision } = this.parts
    const startedAt = clock.now()
    const ask = this.numberedAsk(need)
    const byOwner = await this.takeFromOwner(need, ask)
    const taken = byOwner ?? await this.takeOwnPart(need, ask)
    const isRefused = taken instanceof LimpetwinchError
    const outcome = byOwner === undefined ? (isRefused ? 'own-part-refused' : 'own-part') : (isRefused ? 'refused' : 'granted')
    onDecision?.(need.service, outcome, clock.now() - startedAt)
    return taken
  }

  /** Takes back places of holders that have gone, and drops what is not needed any more; called periodically. */
  maintain (): void {
    const { owned, ownPart, clock, owners, self } = this.parts
    for (const [service] of owned.view()) if (owners.ownerOf(subjectOf(service)) !== self) owned.drop(service)
    owned.maintain()
    ownPart.maintain()
    for (const [instance, until] of this.silentUntil) if (until <= clock.now()) this.silentUntil.delete(instance)
  }

  /** Number of places that this instance has lent, as an owner or of its own part. */
  get heldCount (): number {
    return this.parts.owned.heldCount + this.parts.ownPart.heldCount
  }

  /** Number of requests that wait for a place at this instance. */
  get waitingCount (): number {
    return this.parts.owned.waitingCount + this.parts.ownPart.waitingCount
  }

  /** @returns the divided services as this instance sees them; changes nothing */
  view (): readonly ServicePlacesView[] {
    const { owned, ownPart, owners, self } = this.parts
    return [...this.divided].map((service) => {
      const owner = owners.ownerOf(subjectOf(service))
      const [, endpoints = [], waiting = 0] = (owner === self ? owned : ownPart).view().find(([name]) => name === service) ?? []
      return { service, owner, endpoints, waiting }
    })
  }

  private numberedAsk ({ priority, excluded, onTimeAt, endsAt }: PlaceNeed): NumberedPlaceAsk {
    const { clock, dataCentre } = this.parts
    this.asks += 1
    const now = clock.now()
    return { number: this.asks, priority, excluded, dataCentre, onTimeMilliseconds: onTimeAt - now, timeLeftMilliseconds: endsAt - now }
  }

  /** @returns undefined when no owner answered */
  private async takeFromOwner (need: PlaceNeed, ask: NumberedPlaceAsk): Promise<TakenPlace | LimpetwinchError | undefined> {
    const { clock, owners } = this.parts
    const { service, signal } = need
    const { number } = ask
    const owner = owners.ownerOf(subjectOf(service))
    if ((this.silentUntil.get(owner) ?? -Infinity) > clock.now()) return undefined
    const patience = Math.max(SHORTEST_ANSWER_MILLISECONDS, Math.min(LONGEST_ANSWER_MILLISECONDS, ask.onTimeMilliseconds * ANSWER_SHARE))
    return await new Promise((resolve) => {
      let timer = new AbortController()
      const settle = (result: TakenPlace | LimpetwinchError | undefined): void => {
        timer.abort()
        signal.removeEventListener('abort', leave)
        this.open.delete(number)
        resolve(result)
      }
      const withdraw = (result: LimpetwinchError | undefined): void => {
        this.sendReturn(owner, service, number, 'abandoned', 0)
        settle(result)
      }
      const leave = (): void => withdraw(placesTaken(service, 0))
      const wait = (milliseconds: number): void => {
        timer.abort()
        timer = new AbortController()
        const { signal: ended } = timer
        void clock.sleep(milliseconds, ended).then(() => {
          if (ended.aborted) return
          this.markSilent(owner, service)
          withdraw(undefined)
        })
      }
      const receive: OpenAsk['receive'] = ({ decision, endpoint, milliseconds }) => {
        if (decision === 'queued') wait(milliseconds + QUEUE_SLACK_MILLISECONDS)
        else if (decision === 'refused') settle(placesTaken(service, milliseconds))
        else if (decision === 'granted' && endpoint !== undefined) settle(this.takenPlace(endpoint as EndpointId, (end, used) => this.sendReturn(owner, service, number, end, used)))
        else settle(undefined)
      }
      this.open.set(number, { owner, receive })
      signal.addEventListener('abort', leave)
      wait(patience)
      this.sendAsk(owner, service, ask)
    })
  }

  private async takeOwnPart ({ service, signal }: PlaceNeed, ask: NumberedPlaceAsk): Promise<TakenPlace | LimpetwinchError> {
    const { ownPart, self } = this.parts
    const giveBack = (end: PlaceEnd, milliseconds: number): void => ownPart.giveBack(service, self, ask.number, end, milliseconds)
    return await new Promise((resolve) => {
      const leave = (): void => {
        giveBack('abandoned', 0)
        resolve(placesTaken(service, 0))
      }
      signal.addEventListener('abort', leave)
      ownPart.ask(service, self, ask, (decision) => {
        if (decision.kind === 'queued') return
        signal.removeEventListener('abort', leave)
        resolve(decision.kind === 'granted' ? this.takenPlace(decision.endpoint, giveBack) : placesTaken(service, decision.milliseconds))
      })
    })
  }

  private takenPlace (endpoint: EndpointId, giveBack: TakenPlace['giveBack']): TakenPlace {
    let isHeld = true
    return {
      endpoint,
      giveBack: (end, milliseconds) => {
        if (isHeld) giveBack(end, milliseconds)
        isHeld = false
      }
    }
  }

  private handleAsk (from: InstanceId, frame: FrameOf<'place-ask'>): void {
    const { owners, owned, self, logger } = this.parts
    const { service, number } = frame
    if (owners.ownerOf(subjectOf(service as ServiceName)) !== self) return this.answer(from, { kind: 'place-answer', service, number, decision: 'not-owner', milliseconds: 0 })
    if (!owned.lends(service as ServiceName)) logger.info('This instance lends the places of a service.', { service })
    const ask = { ...frame, excluded: new Set(frame.excluded as EndpointId[]) }
    owned.ask(service as ServiceName, from, ask, (decision) => this.answer(from, answerFrame(service, number, decision)))
  }

  private handleAnswer (from: InstanceId, frame: Answer): void {
    const ask = this.open.get(frame.number)
    if (ask?.owner === from) return ask.receive(frame)
    // A grant that arrives after the request has gone on is not used.
    if (frame.decision === 'granted') this.sendReturn(from, frame.service as ServiceName, frame.number, 'abandoned', 0)
  }

  private answer (to: InstanceId, frame: Answer): void {
    if (to === this.parts.self) this.handleAnswer(to, frame)
    else this.parts.notify(to, frame)
  }

  private sendAsk (owner: InstanceId, service: ServiceName, { number, priority, excluded, dataCentre, onTimeMilliseconds, timeLeftMilliseconds }: NumberedPlaceAsk): void {
    const frame = { kind: 'place-ask', service, number, priority, excluded: [...excluded], dataCentre, onTimeMilliseconds, timeLeftMilliseconds } as const
    if (owner === this.parts.self) this.handleAsk(owner, frame)
    else this.parts.notify(owner, frame)
  }

  private sendReturn (owner: InstanceId, service: ServiceName, number: number, end: PlaceEnd, milliseconds: number): void {
    if (owner === this.parts.self) this.parts.owned.giveBack(service, owner, number, end, milliseconds)
    else this.parts.notify(owner, { kind: 'place-return', service, number, end, milliseconds })
  }

  private markSilent (owner: InstanceId, service: ServiceName): void {
    this.parts.logger.info('The place owner of a service did not answer; this instance uses its own part of the slots.', { service, owner })
    this.silentUntil.set(owner, this.parts.clock.now() + SILENT_MILLISECONDS)
  }
}

/** @returns the subject by which the place owner of a service is chosen */
function subjectOf (service: ServiceName): string {
  return `places/${service}`
}

function answerFrame (service: string, number: number, decision: PlaceDecision): Answer {
  const shared = { kind: 'place-answer', service, number, decision: decision.kind } as const
  return decision.kind === 'granted' ? { ...shared, endpoint: decision.endpoint, milliseconds: 0 } : { ...shared, milliseconds: Math.max(0, decision.milliseconds) }
}

function placesTaken (service: ServiceName, milliseconds: number): LimpetwinchError {
  return new LimpetwinchError('places-taken', { service }, { retryAfterSeconds: Math.ceil(milliseconds) / 1_000 })
}
