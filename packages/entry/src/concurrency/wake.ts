/** Wakes tasks that wait for something to change. */

/** A condition without a value: whoever waits looks again after each wake. */
export class Wake {
  private readonly waiting = new Set<() => void>()
  private pending = false

  /** Wakes all that wait; the next wait returns at once when nobody waits now, so that no wake is lost. */
  notify (): void {
    this.pending = this.waiting.size === 0
    for (const wake of [...this.waiting]) wake()
  }

  /**
   * Waits for a wake.
   *
   * @param milliseconds - how long at most
   * @param signal - ends the wait as well
   */
  async wait (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (this.pending || signal?.aborted === true) {
      this.pending = false
      return
    }
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        this.waiting.delete(finish)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      this.waiting.add(finish)
      signal?.addEventListener('abort', finish)
    })
  }
}
