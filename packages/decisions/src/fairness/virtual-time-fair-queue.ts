/** Weighted fair queueing of requests between teams. */
import { FairQueue } from './fair-queue.js'
import type { QueuedRequest } from './fair-queue.js'
import { ServiceAccounting } from './service-accounting.js'

/** Options of {@link VirtualTimeFairQueue}. */
export interface VirtualTimeFairQueueOptions {
  /** Accounting shared with the other queues of this instance; by default the queue has its own. */
  readonly accounting?: ServiceAccounting
  /** Waiting time that raises a request by one priority level among the requests of its team, milliseconds. */
  readonly agingMilliseconds?: number
  /**
   * Tokens subtracted from the virtual time of a team for each priority level of its next request, when teams are compared.
   * Virtual time is service divided by weight.
   */
  readonly tokensPerPriorityLevel?: number
  /** Number of places in a batch that are withheld from a team that floods the queue. */
  readonly reservedPlaces?: number
  /** A team can count as flooding only while it has more queued requests than this. */
  readonly floodQueueLength?: number
  /** A team counts as flooding when its recent service is more than this many times its fair share, which is in proportion to the team's weight. */
  readonly floodShareFactor?: number
}

const DEFAULT_AGING_MILLISECONDS = 5_000
const DEFAULT_TOKENS_PER_PRIORITY_LEVEL = 4_000

/**
 * Weighted fair queueing by virtual time. The virtual time of a team is the service charged to the team, in tokens, divided by its weight.
 *
 * Within a team, the request with the highest priority is served first, and waiting raises the priority. Between teams, the
 * request of the team with the lowest virtual time is served first, where a high priority lowers the virtual time that is
 * compared. The priority does not lower the service charged, so in the long run no priority gets a team more than its
 * share and no team starves.
 *
 * Complexity: `push` and `remove` are linear in the team's own queued requests, `next` in the requests checked until one is
 * eligible. Neither depends on the number of adapters.
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

  /**
   * Changes the number of places in the engine's batch that are withheld from teams that flood the queue. The number depends on the
   * operator's batch efficiency weight, for example, and changes with this weight.
   */
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
    let candidate: Item | undefined
    let candidateShare = -Infinity
    for (const [team, waiting] of this.byTeam) {
      const item = youngestOfLowestPriority(waiting)
      if (item === undefined) continue
      const share = this.accounting.shareUsed(team)
      const goesFirst = candidate === undefined || item.priority < candidate.priority ||
        (item.priority === candidate.priority && share > candidateShare)
      if (!goesFirst) continue
      candidate = item
      candidateShare = share
    }
    return candidate
  }

  /**
   * Teams are served in turn. So the queue of another team counts only up to the service that this other team gets while the
   * item's own team is served up to the item.
   */
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
   * A team that floods the queue takes every place in the batch as soon as it becomes free. Requests of other teams, however low
   * their virtual time, then wait until a request of the flooding team ends. Withholding the last places from the flooding
   * team leaves room for the other teams. A popular team without a long queue does not count, since it does not delay others.
   *
   * @returns whether the team floods the queue
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
 * Finds the position of a request in its team's queue by binary search. Age and priority are combined in one rank, where a priority
 * level equals `aging` milliseconds of waiting, so the order of queued requests never changes. Without ageing, a steady stream of
 * high-priority requests would keep the team's low-priority ones waiting for ever.
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

/** @returns the request of the lowest priority that has waited least */
function youngestOfLowestPriority<Item extends QueuedRequest> (waiting: readonly Item[]): Item | undefined {
  let lowest: Item | undefined
  for (const item of waiting) {
    const isLower = lowest === undefined || item.priority < lowest.priority ||
      (item.priority === lowest.priority && item.enqueuedAt >= lowest.enqueuedAt)
    if (isLower) lowest = item
  }
  return lowest
}
