/** Random choices that depend only on a seed. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

/** A seeded generator of random choices. */
export class SeededRandom {
  private readonly generator: RandomGenerator

  /** @param seed - the same seed gives the same sequence of choices */
  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** @returns an integer from minimum to maximum, both included */
  between (minimum: number, maximum: number): number {
    return unsafeUniformIntDistribution(minimum, maximum, this.generator)
  }

  /** @returns one of the items, each with the same probability */
  pick<Item> (items: readonly Item[]): Item {
    const item = items[this.between(0, items.length - 1)]
    if (item === undefined) throw new Error('Cannot pick an item from an empty list.')
    return item
  }

  /** @returns true with the given probability, 0 to 1 */
  happens (probability: number): boolean {
    return this.between(0, 999) < probability * 1000
  }
}
