/**
 * Decides when one engine may load from the weight store.
 *
 * Each instance learns the store's limit by itself and compares it with the loads in progress of all instances. An instance that
 * receives all messages late measures every load as slow, and its limit stays below the number of loads that the other instances
 * keep in progress. With the limit alone it would order no load for as long as the others go on, while its engines look idle and
 * attract requests that are then refused.
 *
 * Therefore an engine also gets a turn, whatever the limit says, once enough loads have completed on all engines since its last turn.
 */
import type { WeightStoreLimiter } from './weight-store-limiter.js'

/**
 * Loads completed on all engines between two turns of one engine, per engine. With two, at most half of the loads begin by turn:
 * a congested store recovers, since the limit still applies to the other half.
 */
const LOADS_PER_TURN = 2
/** Most turns that an engine without loads accumulates. */
const MAXIMUM_ACCUMULATED_TURNS = 2

/** Turns of one engine. */
export class StoreTurn {
  private readonly limiter: WeightStoreLimiter
  /** Part of the completed loads that is used up by this engine's past turns. */
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
