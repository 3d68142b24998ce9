/** Keeps a ledger of places for each service that is in use here and answers asks, those that wait in its queues too. */
import type { Clock, EndpointId, InstanceId } from '@limpetwinch/core'
import { PlaceLedger } from '@limpetwinch/decisions'
import type { PlaceAsk, PlaceDecision, PlaceEnd, PlaceEntry, PlaceView } from '@limpetwinch/decisions'
import type { Endpoint, ServiceName } from '../routes/configuration.js'

/** Interval between looks at a queue in which nothing is given back, in milliseconds. */
const SETTLE_MILLISECONDS = 10
/** Time without an ask after which the ledger of a service is dropped, in milliseconds. */
const IDLE_MILLISECONDS = 60_000

/** What one instance asks for one request; times are durations. */
export interface NumberedPlaceAsk {
  /** Number of the ask among all of the instance. */
  readonly number: number
  readonly priority: number
  readonly excluded: ReadonlySet<EndpointId>
  readonly dataCentre: string
  /** Time until the answer is late by the latency objective, in milliseconds. */
  readonly onTimeMilliseconds: number
  /** Time until the request times out, in milliseconds. */
  readonly timeLeftMilliseconds: number
}

/** What the desk needs of the instance. */
export interface PlaceDeskDependencies {
  readonly clock: Clock
  /** @returns endpoints of the service that may get requests */
  readonly endpointsOf: (service: ServiceName) => readonly Endpoint[]
  /** @returns the part of an endpoint's slots that this desk lends, at least one */
  readonly lentSlots: (slots: number) => number
  readonly isReachable: (instance: InstanceId) => boolean
}

interface ServiceDesk {
  readonly ledger: PlaceLedger
  readonly answers: Map<string, (decision: PlaceDecision) => void>
  askedAt: number
  isSettling: boolean
}

/** Lends places of all services. */
export class PlaceDesk {
  private readonly parts: PlaceDeskDependencies
  private readonly desks = new Map<ServiceName, ServiceDesk>()

  constructor (parts: PlaceDeskDependencies) {
    this.parts = parts
  }

  /** Number of places that are lent now. */
  get heldCount (): number {
    return [...this.desks.values()].reduce((sum, { ledger }) => sum + ledger.heldCount, 0)
  }

  /** Number of requests that wait for a place here. */
  get waitingCount (): number {
    return [...this.desks.values()].reduce((sum, { ledger }) => sum + ledger.waitingCount, 0)
  }

  /**
   * Decides on a request.
   *
   * @param answer - called with the decision, at once; after a `queued` one again with the final one
   */
  ask (service: ServiceName, from: InstanceId, ask: NumberedPlaceAsk, answer: (decision: PlaceDecision) => void): void {
    const now = this.parts.clock.now()
    const desk = this.deskOf(service, now)
    const decision = desk.ledger.ask(ledgerAsk(from, ask, now), now)
    answer(decision)
    if (decision.kind !== 'queued') return
    desk.answers.set(keyOf(from, ask.number), answer)
    void this.settleWhileWaiting(desk)
  }

  /** Takes back the place of a request, or its turn in the queue. */
  giveBack (service: ServiceName, from: InstanceId, number: number, end: PlaceEnd, milliseconds: number): void {
    const desk = this.desks.get(service)
    if (desk === undefined) return
    const key = keyOf(from, number)
    desk.answers.delete(key)
    desk.ledger.giveBack(key, end, milliseconds, this.parts.clock.now())
    this.settle(desk)
  }

  /** Takes back what instances hold that cannot be reached, and drops ledgers without requests; called periodically. */
  maintain (): void {
    const now = this.parts.clock.now()
    for (const [service, desk] of this.desks) {
      desk.ledger.forgetIf((key) => !this.parts.isReachable(holderOf(key)))
      this.settle(desk)
      if (now - desk.askedAt > IDLE_MILLISECONDS && desk.ledger.heldCount === 0) this.desks.delete(service)
    }
  }

  /** @returns whether requests of the service have been asked for here lately */
  lends (service: ServiceName): boolean {
    return this.desks.has(service)
  }

  /** Drops the ledger of a service that another instance lends now. */
  drop (service: ServiceName): void {
    this.desks.delete(service)
  }

  /** @returns the services whose places are lent here, with their endpoints */
  view (): readonly (readonly [service: ServiceName, endpoints: readonly PlaceView[], waiting: number])[] {
    const now = this.parts.clock.now()
    return [...this.desks].map(([service, { ledger }]) => [service, ledger.view(now), ledger.waitingCount])
  }

  private deskOf (service: ServiceName, now: number): ServiceDesk {
    const desk = this.desks.get(service) ?? { ledger: new PlaceLedger(), answers: new Map(), askedAt: now, isSettling: false }
    this.desks.set(service, desk)
    desk.askedAt = now
    desk.ledger.configure(this.parts.endpointsOf(service).map((endpoint) => this.entryOf(endpoint)), now)
    return desk
  }

  private entryOf ({ id, slots, dataCentre, born }: Endpoint): PlaceEntry {
    return { endpoint: id, slots: this.parts.lentSlots(slots), dataCentre, born }
  }

  private settle ({ ledger, answers }: ServiceDesk): void {
    for (const [key, decision] of ledger.settle(this.parts.clock.now())) {
      const answer = answers.get(key)
      answers.delete(key)
      answer?.(decision)
    }
  }

  private async settleWhileWaiting (desk: ServiceDesk): Promise<void> {
    if (desk.isSettling) return
    desk.isSettling = true
    while (desk.ledger.waitingCount > 0) {
      await this.parts.clock.sleep(SETTLE_MILLISECONDS)
      this.settle(desk)
    }
    desk.isSettling = false
  }
}

function ledgerAsk (from: InstanceId, { number, priority, excluded, dataCentre, onTimeMilliseconds, timeLeftMilliseconds }: NumberedPlaceAsk, now: number): PlaceAsk {
  return { key: keyOf(from, number), priority, excluded, dataCentre, onTimeAt: now + onTimeMilliseconds, endsAt: now + timeLeftMilliseconds }
}

function keyOf (from: InstanceId, number: number): string {
  return `${from} ${number}`
}

function holderOf (key: string): InstanceId {
  return key.slice(0, key.lastIndexOf(' ')) as InstanceId
}
