/** The adapters that are wanted on one engine, and which of them comes next. */
import type { AdapterKey } from '../routes/configuration.js'

/** Whoever waits asks again and again; a want that was not repeated in this time has no waiter any more. */
const WANT_MILLISECONDS = 800

/** What a load may wait for. */
export type HeldUpBy = 'nothing' | 'travelling loads' | 'slots in use' | 'a silent engine' | 'runs of the old version'

/** One wanted adapter. */
export interface Want {
  readonly key: AdapterKey
  /** The least version that is of use. */
  version: number
  /** Whether requests wait; else it is a further copy. */
  waiting: boolean
  readonly firstAskedAt: number
  askedAt: number
  /** What it waited for last; for the log. */
  heldUpBy: HeldUpBy
}

/** Wants by adapter. */
export class LoadWants {
  private readonly wants = new Map<AdapterKey, Want>()

  /** Whether anything is wanted. */
  get isEmpty (): boolean {
    return this.wants.size === 0
  }

  /** Notes a want, or that it is still one. */
  ask (key: AdapterKey, version: number, waiting: boolean, now: number): void {
    const known = this.wants.get(key)
    if (known === undefined) {
      this.wants.set(key, { key, version, waiting, firstAskedAt: now, askedAt: now, heldUpBy: 'nothing' })
      return
    }
    known.version = Math.max(known.version, version)
    known.waiting ||= waiting
    known.askedAt = now
  }

  /** @returns the want of an adapter */
  find (key: AdapterKey): Want | undefined {
    return this.wants.get(key)
  }

  /** The want is met. */
  met (key: AdapterKey): void {
    this.wants.delete(key)
  }

  /** @returns the adapters that are wanted */
  keys (): readonly AdapterKey[] {
    return [...this.wants.keys()]
  }

  /**
   * Picks the next: what requests wait for goes first; of these, what the engine caches, since it takes a tenth of the time.
   *
   * @param isBlocked - adapters that are on their way in or out
   * @param isCached - adapters that the engine loads without the weight store
   */
  next (isBlocked: (key: AdapterKey) => boolean, isCached: (key: AdapterKey) => boolean, now: number): Want | undefined {
    let best: Want | undefined
    for (const want of this.wants.values()) {
      if (now - want.askedAt > WANT_MILLISECONDS) {
        this.wants.delete(want.key)
        continue
      }
      if (isBlocked(want.key)) continue
      if (best === undefined || rank(want, isCached) > rank(best, isCached)) best = want
    }
    return best
  }
}

function rank (want: Want, isCached: (key: AdapterKey) => boolean): number {
  return (want.waiting ? 2 : 0) + (isCached(want.key) ? 1 : 0)
}
