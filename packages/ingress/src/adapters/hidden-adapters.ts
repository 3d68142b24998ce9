/** Tracks the adapters of an engine that are not offered to requests because they are about to be evicted or replaced. */
import type { AdapterKey } from '../routes/configuration.js'

/** Reason why an adapter is hidden. */
export type HiddenReason = 'eviction' | 'replacement'

interface Hidden {
  readonly reason: HiddenReason
  readonly since: number
}

/** The hidden adapters of one engine. Several can be hidden at the same time, each until all peers have received the notice about it. */
export class HiddenAdapters {
  private readonly byKey = new Map<AdapterKey, Hidden>()
  private readonly noticeRoundTripMilliseconds: () => number

  /**
   * @param noticeRoundTripMilliseconds - time within which all peers receive the notice that an adapter is hidden; a request that a
   *   peer sent before it received the notice has started on the engine by then
   */
  constructor (noticeRoundTripMilliseconds: () => number) {
    this.noticeRoundTripMilliseconds = noticeRoundTripMilliseconds
  }

  /** @returns whether the adapter is hidden */
  has (key: AdapterKey): boolean {
    return this.byKey.has(key)
  }

  /** Hides an adapter. If it is hidden already, the time that a notice needs to reach all peers starts again. */
  hide (key: AdapterKey, reason: HiddenReason, now: number): void {
    this.byKey.set(key, { reason, since: now })
  }

  /**
   * Ends the hiding of an adapter that is offered again, or that the engine no longer holds.
   *
   * @returns whether it was hidden
   */
  show (key: AdapterKey): boolean {
    return this.byKey.delete(key)
  }

  /** @returns why the adapter is hidden */
  reasonOf (key: AdapterKey): HiddenReason | undefined {
    return this.byKey.get(key)?.reason
  }

  /** @returns monotonic time in milliseconds by which all peers have received the notice; undefined when the adapter is not hidden */
  noticeReceivedAt (key: AdapterKey): number | undefined {
    const hidden = this.byKey.get(key)
    return hidden === undefined ? undefined : hidden.since + this.noticeRoundTripMilliseconds()
  }

  /** @returns the adapters that are hidden for this reason */
  keys (reason: HiddenReason): readonly AdapterKey[] {
    return [...this.byKey].filter(([, hidden]) => hidden.reason === reason).map(([key]) => key)
  }
}
