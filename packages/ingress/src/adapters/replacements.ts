/** Replaces old versions of adapters on one engine: hides them, and decides when the replacement may be ordered. */
import type { LoadQueue } from '@limpetwinch/decisions'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import type { HeldAdapterPublisher } from './held-adapter-publisher.js'
import type { HiddenAdapters } from './hidden-adapters.js'
import type { LoaderDependencies } from './loader-dependencies.js'
import type { SlotReservations } from './slot-reservations.js'

/** Dependencies of the replacements on one engine. */
export interface ReplacementDependencies {
  readonly endpoint: Endpoint
  readonly reservations: SlotReservations
  readonly queue: LoadQueue<AdapterKey>
  readonly hidden: HiddenAdapters
  readonly publisher: HeldAdapterPublisher
  readonly loaderDependencies: LoaderDependencies
}

/** The replacements of old versions on one engine. */
export class Replacements {
  private readonly dependencies: ReplacementDependencies

  constructor (dependencies: ReplacementDependencies) {
    this.dependencies = dependencies
  }

  /**
   * Hides held adapters that a newer version is pending for. The engine refuses requests for an adapter while it loads the newer
   * version, so peers are notified first. The load order also waits until no request runs on the old version. Sent earlier, the
   * order would block the adapter until the last of those requests has ended; a copy on another engine serves new requests sooner.
   */
  hideOldVersions (now: number): void {
    const { reservations, queue, hidden, publisher } = this.dependencies
    for (const key of queue.keys()) {
      if (!reservations.held.has(key) || hidden.has(key) || reservations.inFlight.has(key)) continue
      hidden.hide(key, 'replacement', now)
      publisher.publish()
    }
  }

  /** @returns whether the load that replaces a held adapter may be ordered */
  mayReplace (key: AdapterKey, now: number): boolean {
    const { endpoint, hidden, loaderDependencies } = this.dependencies
    if (now < (hidden.noticeReceivedAt(key) ?? Infinity)) return false
    return loaderDependencies.workTracker.running(endpoint.id, key, now) === 0 || this.isRecalled(key, now)
  }

  /**
   * Requests that wait at the engine would begin on the old version too late. From the time of the recall on, the replacement is ordered
   * although requests are counted there: the engine refuses those that have not begun, which proves that they did not run. Until the others have
   * ended, the engine accepts no other order, so there is no recall where all requests have begun.
   *
   * @returns whether the old version of the adapter is recalled
   */
  isRecalled (key: AdapterKey, now: number): boolean {
    const { endpoint, reservations, loaderDependencies: { recallsPreviousAt, workTracker } } = this.dependencies
    const version = reservations.held.get(key)?.version
    if (version === undefined || now < (recallsPreviousAt(key, version) ?? Infinity)) return false
    return workTracker.hasWaitingRequests(endpoint.id, now)
  }
}
