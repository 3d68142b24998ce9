/** Choices that follow from a seed alone. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

/** A seeded source of choices. */
export class SeededRandom {
  private readonly generator: RandomGenerator

  /** @param seed - the same seed gives the same choices */
  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** @returns a whole number from least to most, both included */
  between (least: number, most: number): number {
    return unsafeUniformIntDistribution(least, most, this.generator)
  }

  /** @returns one of the items */
  pick<Item> (items: readonly Item[]): Item {
    const item = items[this.between(0, items.length - 1)]
    if (item === undefined) throw new Error('There is nothing to pick from.')
    return item
  }

  /** @returns whether something of this chance, 0 to 1, happens */
  happens (chance: number): boolean {
    return this.between(0, 999) < chance * 1000
  }
}
