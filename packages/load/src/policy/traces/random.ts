/** Seeded random numbers for the traces. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'

const RESOLUTION = 0x3fff_ffff

/** A stream of random numbers; two with the same seed and label are the same. */
export class Random {
  private readonly generator: RandomGenerator

  /**
   * @param seed - of the whole run
   * @param label - keeps the streams of one run apart
   */
  constructor (seed: number, label: string) {
    let mixed = seed | 0
    for (const character of label) mixed = Math.imul(mixed ^ character.charCodeAt(0), 0x01000193)
    this.generator = xoroshiro128plus(mixed)
  }

  /** @returns a number from 0 to below 1 */
  unit (): number {
    return unsafeUniformIntDistribution(0, RESOLUTION, this.generator) / (RESOLUTION + 1)
  }

  /** @returns a whole number from `least` to `most` */
  integer (least: number, most: number): number {
    return unsafeUniformIntDistribution(least, most, this.generator)
  }

  /** @returns a time between two events of a Poisson process, with this mean */
  exponential (mean: number): number {
    return -Math.log(1 - this.unit()) * mean
  }

  /** Puts the items into random order, in place. */
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

/** Ranks drawn with a chance proportional to `1 / (rank + 1) ** skew`. */
export class ZipfRanks {
  private readonly cumulative: Float64Array

  /**
   * @param count - ranks 0 to count - 1
   * @param skew - 0 is uniform
   */
  constructor (count: number, skew: number) {
    this.cumulative = new Float64Array(count)
    let sum = 0
    for (let rank = 0; rank < count; rank++) {
      sum += 1 / (rank + 1) ** skew
      this.cumulative[rank] = sum
    }
  }

  /** @returns a rank */
  draw (random: Random): number {
    const last = this.cumulative.length - 1
    const wanted = random.unit() * (this.cumulative[last] ?? 0)
    let low = 0
    let high = last
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.cumulative[middle] ?? 0) > wanted) high = middle
      else low = middle + 1
    }
    return low
  }
}
