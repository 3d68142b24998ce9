/** The weight store. Concurrent transfers share its bandwidth, and their total throughput is lower than that of consecutive transfers. */

/** Options of the weight store. */
export interface WeightStoreOptions {
  /** Number of transfers per second when one runs at a time. */
  readonly loadsPerSecond: number
  /** Penalty for sharing: k concurrent transfers slow the whole store down by the factor 1 + penalty * (k - 1). */
  readonly sharingPenalty: number
}

interface Transfer {
  /** Remaining duration at full speed, in milliseconds. */
  left: number
  readonly finish: () => void
}

/** Simulates transfers that share the bandwidth equally (processor sharing). */
export class WeightStore {
  /** Factor on the duration of each new transfer. */
  slowness = 1
  private readonly options: WeightStoreOptions
  private readonly transfers = new Set<Transfer>()
  private advancedAt = performance.now()
  private timer: NodeJS.Timeout | undefined

  /** @param options - speed and sharing penalty */
  constructor (options: WeightStoreOptions) {
    this.options = options
  }

  /** @returns number of transfers in progress */
  get active (): number {
    return this.transfers.size
  }

  /**
   * Transfers the weights of one adapter.
   *
   * @param signal - cancels the transfer; the promise then resolves early
   */
  async transfer (signal: AbortSignal): Promise<void> {
    this.advance()
    await new Promise<void>((resolve) => {
      const abandon = (): void => this.abandon(transfer)
      const finish = (): void => {
        signal.removeEventListener('abort', abandon)
        resolve()
      }
      const transfer: Transfer = { left: 1000 / this.options.loadsPerSecond * this.slowness, finish }
      this.transfers.add(transfer)
      signal.addEventListener('abort', abandon, { once: true })
      this.plan()
    })
  }

  private abandon (transfer: Transfer): void {
    if (!this.transfers.has(transfer)) return
    this.advance()
    this.transfers.delete(transfer)
    transfer.finish()
    this.plan()
  }

  /** @returns progress of each transfer per millisecond, in milliseconds at full speed */
  private speed (): number {
    const count = this.transfers.size
    return 1 / (count * (1 + this.options.sharingPenalty * (count - 1)))
  }

  private advance (): void {
    const now = performance.now()
    const done = this.transfers.size === 0 ? 0 : (now - this.advancedAt) * this.speed()
    this.advancedAt = now
    for (const transfer of this.transfers) transfer.left -= done
  }

  private plan (): void {
    clearTimeout(this.timer)
    if (this.transfers.size === 0) return
    const shortest = Math.min(...[...this.transfers].map((transfer) => transfer.left))
    this.timer = setTimeout(() => this.completeReady(), Math.max(0, shortest / this.speed()))
  }

  private completeReady (): void {
    this.advance()
    for (const transfer of [...this.transfers]) {
      if (transfer.left > 0) continue
      this.transfers.delete(transfer)
      transfer.finish()
    }
    this.plan()
  }
}
