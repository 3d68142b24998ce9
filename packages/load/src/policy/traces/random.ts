/** Seeded random numbers for the traces. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const RESOLUTION = 0x3fff_ffff

/** A stream of random numbers; streams with the same seed and label are identical. */
export class Random {
  private readonly generator: RandomGenerator

  /**
   * @param seed - seed of the whole run
   * @param label - distinguishes the streams of one run
   */
  constructor (seed: number, label: string) {
    let mixed = seed | 0
    for (const character of label) mixed = Math.imul(mixed ^ character.charCodeAt(0), 0x01000193)
    this.generator = xoroshiro128plus(mixed)
  }

  /** @returns a number from 0 inclusive to 1 exclusive */
  unit (): number {
    return unsafeUniformIntDistribution(0, RESOLUTION, this.generator) / (RESOLUTION + 1)
  }

  /** @returns an integer from `minimum` to `maximum`, both inclusive */
  integer (minimum: number, maximum: number): number {
    return unsafeUniformIntDistribution(minimum, maximum, this.generator)
  }

  /** @returns an interval between two events of a Poisson process with this mean interval */
  exponential (mean: number): number {
    return -Math.log(1 - this.unit()) * mean
  }

  /** Shuffles the items in place. */
  shuffle<Item> (items: Item[]): Item[] {
    for (let index = items.length - 1; index > 0; index--) {
      const other = this.integer(0, index)
      const moved = items[index] as Item
      items[index] = items[other] as Item
      items[other] = moved
    }
    return items
  }
}

/** Draws ranks with a probability proportional to `1 / (rank + 1) ** skew`. */
export class ZipfRanks {
  private readonly cumulative: Float64Array

  /**
   * @param count - number of ranks, which are 0 to count - 1
   * @param skew - exponent of the distribution; 0 is uniform
   */
  constructor (count: number, skew: number) {
    this.cumulative = new Float64Array(count)
    let sum = 0
    for (let rank = 0; rank < count; rank++) {
      sum += 1 / (rank + 1) ** skew
      this.cumulative[rank] = sum
    }
  }

  /** @returns a random rank */
  draw (random: Random): number {
    const last = this.cumulative.length - 1
    const drawn = random.unit() * (this.cumulative[last] ?? 0)
    let low = 0
    let high = last
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.cumulative[middle] ?? 0) > drawn) high = middle
      else low = middle + 1
    }
    return low
  }
}
