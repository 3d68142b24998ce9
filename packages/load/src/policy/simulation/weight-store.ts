/** The weight store on the simulated clock: a single transfer runs at full speed, concurrent transfers lose efficiency. */

interface Transfer {
  /** Remaining duration of the transfer at full speed, milliseconds. */
  left: number
  readonly finish: (now: number) => void
}

/** With k concurrent transfers the whole store slows down by 1 + penalty * (k - 1), like the store of the stand-in platform. */
const SHARING_PENALTY = 0.25

/** Runs transfers that share the speed of the store equally. */
export class SimulatedWeightStore {
  private readonly transfers = new Set<Transfer>()
  private advancedAt = 0

  /** @param loadMilliseconds - duration of a single transfer without concurrent transfers */
  constructor (private readonly loadMilliseconds: number) {}

  /** @returns the number of transfers in progress */
  get active (): number {
    return this.transfers.size
  }

  /** Begins a transfer; {@link SimulatedWeightStore.advance} calls `finish` when the transfer has ended. */
  begin (now: number, finish: (now: number) => void): void {
    this.advance(now)
    this.transfers.add({ left: this.loadMilliseconds, finish })
  }

  /** @returns the time at which the next transfer ends if no other begins before, or undefined without transfers */
  nextEnd (): number | undefined {
    if (this.transfers.size === 0) return undefined
    let shortest = Infinity
    for (const transfer of this.transfers) shortest = Math.min(shortest, transfer.left)
    return this.advancedAt + shortest / this.speed()
  }

  /** Advances all transfers to `now` and ends the completed ones. */
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
