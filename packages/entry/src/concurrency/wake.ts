/**
 * A condition variable for asynchronous tasks of one process: a task waits until other code of the process reports a change, or until a
 * timeout, and then continues.
 */

/** A condition variable without a value: a waiting task checks its condition again after each wake. */
export class Wake {
  private readonly waiting = new Set<() => void>()
  private pending = false

  /** Wakes all waiting tasks. If no task is waiting, the next wait returns at once, so that no wake is lost. */
  notify (): void {
    this.pending = this.waiting.size === 0
    for (const wake of [...this.waiting]) wake()
  }

  /**
   * Waits until {@link Wake.notify} is called.
   *
   * @param milliseconds - maximum duration of the wait
   * @param signal - ends the wait early; the promise then resolves
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
