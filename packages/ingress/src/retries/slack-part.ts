/** Divides the retries that are allowed whatever the number of requests, the slack, between the instances without a message. */

/** What the division depends on. */
export interface SlackPartDependencies {
  /** Name under which this instance is listed. */
  readonly self: string
  /** @returns names of the listed instances, this one among them once it is registered; undefined before the first listing */
  readonly listedNames: () => ReadonlySet<string> | undefined
  /** Length of the sliding window of the bound on retries. */
  readonly windowMilliseconds: number
  /** Whether the whole deployment starts for the first time, so that no process has a predecessor. */
  readonly isFirstStart: boolean
}

/**
 * The part of the slack that this instance may use: an equal one for each instance that was listed within the last window, since what an
 * instance spent before it left counts for a window. A process uses none before it has seen its own name listed for a window, unless the whole
 * deployment starts: its predecessor of the same name may have spent the whole part just before it ended.
 */
export class SlackPart {
  private readonly parts: SlackPartDependencies
  /** Monotonic time at which each name was last listed. */
  private readonly lastListedAt = new Map<string, number>()
  private listedSince: number | undefined

  constructor (parts: SlackPartDependencies) {
    this.parts = parts
  }

  /** Number of instances between which the slack is divided. */
  get sharers (): number {
    return this.lastListedAt.size
  }

  /** Reads the listing; called at each use, and periodically so that an instance is noticed that leaves between two uses. */
  update (now: number): void {
    const { self, listedNames, windowMilliseconds } = this.parts
    const names = listedNames()
    if (names === undefined) return
    for (const name of names) this.lastListedAt.set(name, now)
    for (const [name, at] of this.lastListedAt) if (now - at > windowMilliseconds) this.lastListedAt.delete(name)
    this.listedSince = names.has(self) ? this.listedSince ?? now : undefined
  }

  /** @returns the part of the slack that this instance may use now, from 0 to 1 */
  at (now: number): number {
    this.update(now)
    const { listedSince, sharers } = this
    const { isFirstStart, windowMilliseconds } = this.parts
    if (listedSince === undefined) return 0
    return isFirstStart || now - listedSince >= windowMilliseconds ? 1 / sharers : 0
  }
}
