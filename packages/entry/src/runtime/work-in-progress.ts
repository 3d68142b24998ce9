/** The requests in progress, for a stop that cuts none off. */

/** Counts work and tells when there is none. */
export class WorkInProgress {
  private readonly running = new Set<Promise<void>>()

  /** Requests in progress. */
  get count (): number {
    return this.running.size
  }

  /** @returns the work itself, counted until it has ended */
  async track (work: Promise<void>): Promise<void> {
    this.running.add(work)
    try {
      await work
    } finally {
      this.running.delete(work)
    }
  }

  /** Resolves when nothing is in progress. */
  async finished (): Promise<void> {
    while (this.running.size > 0) await Promise.allSettled([...this.running])
  }
}
