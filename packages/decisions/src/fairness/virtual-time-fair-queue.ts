/** Weighted fair queueing by virtual time over tokens and loads. */
import { FairQueue } from './fair-queue.js'
import type { QueuedRequest } from './fair-queue.js'
import { ServiceAccounting } from './service-accounting.js'

/** How priorities age, and with whom accounts are shared. */
export interface VirtualTimeFairQueueOptions {
  /** Accounts shared with the other queues of this instance; its own unless given. */
  readonly accounting?: ServiceAccounting
  /** Within its team a request rises by one level of priority each time it has waited this long, milliseconds. */
  readonly agingMilliseconds?: number
  /** Between teams a level of priority goes before so much service of the others, tokens for a weight of 1. */
  readonly tokensPerPriorityLevel?: number
  /** Places of a batch kept from a team that floods. */
  readonly reservedPlaces?: number
  /** A team floods only while more of its requests than this wait. */
  readonly floodQueueLength?: number
  /** A team floods when it had so many times its share of the service of late. */
  readonly floodShareFactor?: number
}

const DEFAULT_AGING_MILLISECONDS = 5_000
const DEFAULT_TOKENS_PER_PRIORITY_LEVEL = 4_000

/**
 * Within a team the highest priority goes first, and age raises it. Between teams the least virtual time goes first, and
 * a priority is a head start in it: a request goes before what others are served meanwhile, but its team's service
 * counts as ever, so that no priority takes more than the team's share in the long run and none starves.
 *
 * Time: `push` and `remove` are linear in the team's own waiting requests, `next` in the requests looked at until one
 * is eligible. None depends on the number of adapters.
 */
export class VirtualTimeFairQueue<Item extends QueuedRequest> extends FairQueue<Item> {
  private readonly accounting: ServiceAccounting
  private readonly agingMilliseconds: number
  private readonly tokensPerPriorityLevel: number
  private reservedPlaces: number
  private readonly floodQueueLength: number
  private readonly floodShareFactor: number
  private readonly byTeam = new Map<string, Item[]>()
  private readonly byId = new Map<string, Item>()
  private readonly costByTeam = new Map<string, number>()

  constructor (options: VirtualTimeFairQueueOptions = {}) {
    super()
    this.accounting = options.accounting ?? new ServiceAccounting()
    this.agingMilliseconds = options.agingMilliseconds ?? DEFAULT_AGING_MILLISECONDS
    this.tokensPerPriorityLevel = options.tokensPerPriorityLevel ?? DEFAULT_TOKENS_PER_PRIORITY_LEVEL
    this.reservedPlaces = options.reservedPlaces ?? 0
    this.floodQueueLength = options.floodQueueLength ?? 16
    this.floodShareFactor = options.floodShareFactor ?? 2
  }

  /** Takes up another number of kept places, as when the operators' weighting has changed. */
  setReservedPlaces (places: number): void {
    this.reservedPlaces = places
  }

  push (item: Item): void {
    if (this.byId.has(item.requestId)) return
    const waiting = this.byTeam.get(item.team) ?? []
    this.byTeam.set(item.team, waiting)
    waiting.splice(insertionIndex(item, waiting, this.agingMilliseconds), 0, item)
    this.byId.set(item.requestId, item)
    this.costByTeam.set(item.team, (this.costByTeam.get(item.team) ?? 0) + item.cost)
    this.accounting.arrived(item.team)
  }

  remove (requestId: string): Item | undefined {
    const item = this.byId.get(requestId)
    if (item === undefined) return undefined
    this.take(item)
    return item
  }

  next (eligible: (item: Item) => boolean, _now: number, freePlaces = Infinity): Item | undefined {
    let best: Item | undefined
    let bestTime = Infinity
    for (const [team, waiting] of this.byTeam) {
      const item = waiting.find(eligible)
      if (item === undefined) continue
      if (freePlaces <= this.reservedPlaces && this.isFlooding(team, waiting.length)) continue
      const time = this.accounting.virtualTime(team) - item.priority * this.tokensPerPriorityLevel
      if (time >= bestTime) continue
      best = item
      bestTime = time
    }
    if (best === undefined) return undefined
    this.take(best)
    this.accounting.charge(best.team, best.cost)
    return best
  }

  charge (team: string, tokens: number): void {
    this.accounting.charge(team, tokens)
  }

  setWeight (team: string, weight: number): void {
    this.accounting.setWeight(team, weight)
  }

  shareUsed (team: string): number {
    return this.accounting.shareUsed(team)
  }

  worst (): Item | undefined {
    let worst: Item | undefined
    let worstShare = -Infinity
    for (const [team, waiting] of this.byTeam) {
      const item = youngestOfLowestPriority(waiting)
      if (item === undefined) continue
      const share = this.accounting.shareUsed(team)
      const worse = worst === undefined || item.priority < worst.priority ||
        (item.priority === worst.priority && share > worstShare)
      if (!worse) continue
      worst = item
      worstShare = share
    }
    return worst
  }

  /** A team is served in its turn: what others have waiting counts only up to what they get while this team is served. */
  override tokensAhead (item: Item): number {
    const own = this.costByTeam.get(item.team) ?? 0
    const turns = (own + item.cost) / this.accounting.weight(item.team)
    let ahead = own
    for (const [team, cost] of this.costByTeam) {
      if (team !== item.team) ahead += Math.min(cost, turns * this.accounting.weight(team))
    }
    return ahead
  }

  items (): Iterable<Item> {
    return this.byId.values()
  }

  get size (): number {
    return this.byId.size
  }

  /**
   * A team that floods fills each place as it comes free, and others wait for one of its requests to end, however low
   * their virtual time. With the last places kept from it, others find one at once. A popular team without a long queue
   * takes nobody's place.
   */
  private isFlooding (team: string, waiting: number): boolean {
    return waiting > this.floodQueueLength && this.accounting.shareUsedAmongActive(team) > this.floodShareFactor
  }

  private take (item: Item): void {
    this.byId.delete(item.requestId)
    this.accounting.left(item.team)
    const waiting = this.byTeam.get(item.team) ?? []
    const index = waiting.indexOf(item)
    if (index >= 0) waiting.splice(index, 1)
    this.costByTeam.set(item.team, (this.costByTeam.get(item.team) ?? 0) - item.cost)
    if (waiting.length > 0) return
    this.byTeam.delete(item.team)
    this.costByTeam.delete(item.team)
  }
}

/**
 * Age and priority are one number: a level is worth `aging` milliseconds, so the order within a team never changes.
 * Without ageing, a steady stream of high priorities would keep the team's low ones waiting for ever.
 */
function insertionIndex (item: QueuedRequest, waiting: readonly QueuedRequest[], aging: number): number {
  const rank = item.enqueuedAt - item.priority * aging
  let low = 0
  let high = waiting.length
  while (low < high) {
    const middle = (low + high) >>> 1
    const other = waiting[middle]
    const goesAfter = other !== undefined && other.enqueuedAt - other.priority * aging <= rank
    if (goesAfter) low = middle + 1
    else high = middle
  }
  return low
}

/** @returns the youngest of the lowest priority: it has waited least */
function youngestOfLowestPriority<Item extends QueuedRequest> (waiting: readonly Item[]): Item | undefined {
  let lowestItem: Item | undefined
  for (const item of waiting) {
    const worse = lowestItem === undefined || item.priority < lowestItem.priority ||
      (item.priority === lowestItem.priority && item.enqueuedAt >= lowestItem.enqueuedAt)
    if (worse) lowestItem = item
  }
  return lowestItem
}
