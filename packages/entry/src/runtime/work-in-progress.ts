/**
 * Tracks the requests of callers that this instance is processing. An instance that stops waits until these requests have ended, and
 * reports how many of them are left.
 */

/** Counts the requests in progress and waits until none is left. */
export class WorkInProgress {
  private readonly running = new Set<Promise<void>>()

  /** Number of requests in progress. */
  get count (): number {
    return this.running.size
  }

  /**
   * Counts a request until its work has ended.
   *
   * @param work - the work of the request
   * @returns a promise that settles with the work
   */
  async track (work: Promise<void>): Promise<void> {
    this.running.add(work)
    try {
      await work
    } finally {
      this.running.delete(work)
    }
  }

  /** Waits until no request is in progress. */
  async finished (): Promise<void> {
    while (this.running.size > 0) await Promise.allSettled([...this.running])
  }
}
