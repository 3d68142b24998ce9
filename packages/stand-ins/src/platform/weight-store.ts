/** The weight store: transfers share it, and together they get less through than one after another. */

/** How the store behaves. */
export interface WeightStoreOptions {
  /** Loads a second when one runs at a time. */
  readonly loadsPerSecond: number
  /** With k transfers at once the whole store slows down by 1 + penalty * (k - 1). */
  readonly sharingPenalty: number
}

interface Transfer {
  /** Work left, milliseconds at full speed. */
  left: number
  readonly finish: () => void
}

/** Transfers under processor sharing. */
export class WeightStore {
  /** Multiplies the time of each transfer. */
  slowness = 1
  private readonly options: WeightStoreOptions
  private readonly transfers = new Set<Transfer>()
  private advancedAt = performance.now()
  private timer: NodeJS.Timeout | undefined

  /** @param options - its speed */
  constructor (options: WeightStoreOptions) {
    this.options = options
  }

  /** @returns transfers under way */
  get active (): number {
    return this.transfers.size
  }

  /**
   * Transfers the weights of one adapter.
   *
   * @param signal - gives the transfer up
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

  /** @returns milliseconds of work that one transfer gets done in a millisecond */
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
