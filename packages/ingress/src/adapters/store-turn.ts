/**
 * Turns of engines at the weight store, from which the engines load adapters. An engine may start a load from the store while the
 * concurrency limit of the store allows it, or when the engine's turn has come.
 *
 * Each instance learns the store's limit by itself and compares the limit with the number of loads that all instances have in
 * progress. An instance that receives all messages late measures every load as slow, and its learned limit stays below the number of
 * loads that the other instances keep in progress. With the limit alone, this instance would order no load for as long as the other
 * instances keep that many loads in progress, while its engines look idle and attract requests that are then refused.
 *
 * Therefore an engine also gets a turn, whatever the limit says, once enough loads have completed on all engines since its last turn.
 */
import type { WeightStoreLimiter } from './weight-store-limiter.js'

/**
 * An engine gets a turn whenever this many loads per engine have completed, counted over all engines: with ten engines, after 20
 * loads. With two, at most half of the loads begin by turn. A congested store recovers, since the limit still applies to the other
 * half.
 */
const LOADS_PER_TURN = 2
/** Most turns that an engine accumulates while it starts no loads, so that it cannot start many loads beyond the limit afterwards. */
const MAXIMUM_ACCUMULATED_TURNS = 2

/** Turns of one engine. */
export class StoreTurn {
  private readonly limiter: WeightStoreLimiter
  /** Number of completed loads, on all engines, that are used up by this engine's past turns. */
  private accountedLoads: number

  /** @param limiter - concurrency limiter of the store whose engines take turns */
  constructor (limiter: WeightStoreLimiter) {
    this.limiter = limiter
    this.accountedLoads = limiter.completedLoadCount
  }

  /**
   * @param inFlight - number of loads in progress on all engines
   * @returns whether one more load from the store may begin on this engine
   */
  mayBegin (inFlight: number): boolean {
    return inFlight < this.limiter.limit || this.limiter.completedLoadCount - this.accountedLoads >= this.loadsPerTurn
  }

  /** Records that a load from the store has begun on this engine. */
  loadBegan (): void {
    const { completedLoadCount: handedOut } = this.limiter
    const earliest = handedOut - MAXIMUM_ACCUMULATED_TURNS * this.loadsPerTurn
    // Loads complete in bursts: completed loads beyond one turn count towards the next.
    this.accountedLoads = Math.min(handedOut, Math.max(this.accountedLoads, earliest) + this.loadsPerTurn)
  }

  private get loadsPerTurn (): number {
    return LOADS_PER_TURN * this.limiter.engineCount
  }
}
