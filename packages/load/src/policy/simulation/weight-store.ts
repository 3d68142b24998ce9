/** The weight store on the fake clock: one transfer at a time runs at full speed, sharing loses efficiency. */

interface Transfer {
  left: number
  readonly finish: (now: number) => void
}

/** With k transfers at once the whole store slows down by 1 + penalty * (k - 1), as the stand-in platform does. */
const SHARING_PENALTY = 0.25

/** Transfers under processor sharing. */
export class SimulatedWeightStore {
  private readonly transfers = new Set<Transfer>()
  private advancedAt = 0

  /** @param loadMilliseconds - time of one transfer alone */
  constructor (private readonly loadMilliseconds: number) {}

  /** @returns transfers under way */
  get active (): number {
    return this.transfers.size
  }

  /** Begins a transfer; `finish` is called by {@link SimulatedWeightStore.advance} when it is done. */
  begin (now: number, finish: (now: number) => void): void {
    this.advance(now)
    this.transfers.add({ left: this.loadMilliseconds, finish })
  }

  /** @returns when the next transfer ends if none begins before, or undefined */
  nextEnd (): number | undefined {
    if (this.transfers.size === 0) return undefined
    let least = Infinity
    for (const transfer of this.transfers) least = Math.min(least, transfer.left)
    return this.advancedAt + least / this.speed()
  }

  /** Brings all transfers up to now and ends those that are done. */
  advance (now: number): void {
    const done = this.transfers.size === 0 ? 0 : (now - this.advancedAt) * this.speed()
    this.advancedAt = now
    const ended: Transfer[] = []
    for (const transfer of this.transfers) {
      transfer.left -= done
      if (transfer.left <= ROUNDING_TOLERANCE_MILLISECONDS) ended.push(transfer)
    }
    for (const transfer of ended) this.transfers.delete(transfer)
    for (const transfer of ended) transfer.finish(now)
  }

  private speed (): number {
    const count = this.transfers.size
    return 1 / (count * (1 + SHARING_PENALTY * (count - 1)))
  }
}

const ROUNDING_TOLERANCE_MILLISECONDS = 1e-6
