/**
 * When one engine may load from the weight store.
 *
 * Each instance learns the store's limit by itself and holds the loads of all against it. One to which all news comes late
 * takes every load for a slowed one, and its limit stays below what the others keep on their way. By the limit alone it would order
 * no load for as long as they go on, while its engines look idle and draw requests that are then refused.
 *
 * So an engine also has its turn when loads enough have come to all engines since its last one, whatever the limit says.
 */
import type { WeightStorePace } from './weight-store-pace.js'

/**
 * Loads that come to all engines between two turns of one of them, for each engine. With two, at most half of the loads
 * that begin do so by turn: a store that is too full empties, since the limit holds back the other half.
 */
const LOADS_FOR_TURN = 2
/** An engine that has loaded nothing for long has no more than so many turns in a row. */
const MOST_TURNS = 2

/** The turns of one engine. */
export class StoreTurn {
  private readonly pace: WeightStorePace
  /** Loads handed out for which this engine has had its turns. */
  private settled: number

  /** @param pace - what is learnt of the store; its engines take turns */
  constructor (pace: WeightStorePace) {
    this.pace = pace
    this.settled = pace.handedOut
  }

  /** @param inFlight - loads on their way to all engines. @returns whether one more may begin here */
  mayBegin (inFlight: number): boolean {
    return inFlight < this.pace.limit || this.pace.handedOut - this.settled >= this.loadsForTurn
  }

  /** A load from the store has begun here. */
  began (): void {
    const { handedOut } = this.pace
    const earliest = handedOut - MOST_TURNS * this.loadsForTurn
    // Loads come in bursts: what came beyond a turn counts for the next one.
    this.settled = Math.min(handedOut, Math.max(this.settled, earliest) + this.loadsForTurn)
  }

  private get loadsForTurn (): number {
    return LOADS_FOR_TURN * this.pace.engineCount
  }
}
