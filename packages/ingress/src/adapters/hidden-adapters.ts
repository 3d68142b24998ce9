/** Adapters that an engine holds and that requests are kept away from: they are about to be evicted or replaced. */
import type { AdapterKey } from '../routes/configuration.js'

/** Why an adapter is hidden. */
export type HiddenReason = 'eviction' | 'replacement'

interface Hidden {
  readonly reason: HiddenReason
  readonly since: number
}

/** The hidden adapters of one engine. Several wait for their notice to be heard at the same time. */
export class HiddenAdapters {
  private readonly byKey = new Map<AdapterKey, Hidden>()
  private readonly noticeRoundTripMilliseconds: () => number

  /** @param noticeRoundTripMilliseconds - in which peers hear that an adapter leaves; a request that was on its way before has begun by then */
  constructor (noticeRoundTripMilliseconds: () => number) {
    this.noticeRoundTripMilliseconds = noticeRoundTripMilliseconds
  }

  /** @returns whether requests are kept away from the adapter */
  has (key: AdapterKey): boolean {
    return this.byKey.has(key)
  }

  /** Keeps requests away from an adapter; its notice is young again. */
  hide (key: AdapterKey, reason: HiddenReason, now: number): void {
    this.byKey.set(key, { reason, since: now })
  }

  /** Offers the adapter again, or forgets it when it has left. @returns whether it was hidden */
  show (key: AdapterKey): boolean {
    return this.byKey.delete(key)
  }

  /** @returns why the adapter is hidden */
  reasonOf (key: AdapterKey): HiddenReason | undefined {
    return this.byKey.get(key)?.reason
  }

  /** @returns when all peers have heard of it, monotonic milliseconds; undefined when it is not hidden */
  noticeReceivedAt (key: AdapterKey): number | undefined {
    const hidden = this.byKey.get(key)
    return hidden === undefined ? undefined : hidden.since + this.noticeRoundTripMilliseconds()
  }

  /** @returns adapters that are hidden for the reason */
  keys (reason: HiddenReason): readonly AdapterKey[] {
    return [...this.byKey].filter(([, hidden]) => hidden.reason === reason).map(([key]) => key)
  }
}
