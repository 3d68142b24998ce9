/**
 * When one engine may load from the weight store.
 *
 * Each instance learns the store's limit by itself and holds the loads of all against it. One to which all news comes late
 * takes every load for a slowed one, and its limit stays below what the others keep on their way. By the limit alone it would order
 * no load for as long as they go on, while its engines look idle and draw requests that are then refused.
 *
 * So an engine also has its turn when loads enough have come to all engines since its last one, whatever the limit says.
 */
import type { WeightStoreLimiter } from './weight-store-limiter.js'

/**
 * Loads that come to all engines between two turns of one of them, for each engine. With two, at most half of the loads
 * that begin do so by turn: a store that is too full empties, since the limit holds back the other half.
 */
const LOADS_PER_TURN = 2
/** An engine that has loaded nothing for long has no more than so many turns in a row. */
const MOST_ACCUMULATED_TURNS = 2

/** The turns of one engine. */
export class StoreTurn {
  private readonly limiter: WeightStoreLimiter
  /** Loads handed out for which this engine has had its turns. */
  private accountedLoads: number

  /** @param limiter - what is learnt of the store; its engines take turns */
  constructor (limiter: WeightStoreLimiter) {
    this.limiter = limiter
    this.accountedLoads = limiter.completedLoadCount
  }

  /** @param inFlight - loads on their way to all engines. @returns whether one more may begin here */
  mayBegin (inFlight: number): boolean {
    return inFlight < this.limiter.limit || this.limiter.completedLoadCount - this.accountedLoads >= this.loadsPerTurn
  }

  /** A load from the store has begun here. */
  loadBegan (): void {
    const { completedLoadCount: handedOut } = this.limiter
    const earliest = handedOut - MOST_ACCUMULATED_TURNS * this.loadsPerTurn
    // Loads come in bursts: what came beyond a turn counts for the next one.
    this.accountedLoads = Math.min(handedOut, Math.max(this.accountedLoads, earliest) + this.loadsPerTurn)
  }

  private get loadsPerTurn (): number {
    return LOADS_PER_TURN * this.limiter.engineCount
  }
}
