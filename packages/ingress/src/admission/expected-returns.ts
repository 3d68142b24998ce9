/** When the refused callers of each priority were told to return. */

/** The last expected return of each priority. */
export class ExpectedReturns {
  private readonly lastByPriority = new Map<number, number>()

  /**
   * @param priority - priority of the refused request, 0 being the most urgent
   * @param at - monotonic time at which its caller was told to return, milliseconds
   */
  expect (priority: number, at: number): void {
    this.lastByPriority.set(priority, Math.max(at, this.lastByPriority.get(priority) ?? -Infinity))
  }

  /** @returns milliseconds until the last caller of a more urgent request returns; undefined if none is expected */
  millisecondsUntilMoreUrgent (priority: number, now: number): number | undefined {
    let last = -Infinity
    for (const [other, at] of this.lastByPriority) {
      if (at <= now) this.lastByPriority.delete(other)
      else if (other < priority) last = Math.max(last, at)
    }
    return last > now ? last - now : undefined
  }
}
