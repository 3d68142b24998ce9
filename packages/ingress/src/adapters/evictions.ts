/** Frees adapter slots on one engine: hides the adapters to evict ahead of the loads that need their slots, then unloads them. */
import type { LoadQueue, SlotView } from '@limpetwinch/decisions'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import type { HiddenAdapters } from './hidden-adapters.js'
import type { LoaderDependencies } from './loader-dependencies.js'
import type { OrderDispatcher } from './order-dispatcher.js'
import type { SlotReservations } from './slot-reservations.js'
import type { HeldAdapterPublisher } from './held-adapter-publisher.js'

/**
 * How long an adapter counts as pinned, that is, as used by a request, after it was loaded or requested again. Requests are about to
 * use the adapter then, and until peers report that those requests run, no other load may take the adapter's slot.
 */
const REQUESTED_PIN_MILLISECONDS = 250

/** Dependencies of the evictions of one engine. */
export interface EvictionDependencies {
  readonly endpoint: Endpoint
  readonly reservations: SlotReservations
  readonly queue: LoadQueue<AdapterKey>
  readonly hidden: HiddenAdapters
  readonly dispatcher: OrderDispatcher
  readonly publisher: HeldAdapterPublisher
  readonly loaderDependencies: LoaderDependencies
}

/** Chooses, hides and unloads the adapters to evict from one engine. */
export class Evictions {
  private readonly dependencies: EvictionDependencies

  constructor (dependencies: EvictionDependencies) {
    this.dependencies = dependencies
  }

  /**
   * Hides one more adapter of the engine from all peers if pending loads need a slot: publishes a notice that no longer offers the
   * adapter. An adapter is unloaded only after its notice has reached all peers, so several adapters are hidden concurrently and ahead
   * of their unload orders. If they were hidden one after the other, the time that each notice needs to reach all peers would limit an
   * engine to about ten loads per second.
   *
   * @param most - number of further loads that the engine accepts now
   * @returns whether an adapter was hidden
   */
  hideVictim (most: number, now: number): boolean {
    const { reservations, queue, hidden, publisher, loaderDependencies } = this.dependencies
    const { inFlight, unloading, held } = reservations
    const waiting = queue.keys().filter((key) => !inFlight.has(key) && !unloading.has(key) && !held.has(key) && reservations.couldHold(key)).slice(0, Math.max(0, most))
    const [firstWaiting] = waiting
    if (firstWaiting === undefined || reservations.countFitting(waiting, new Set(hidden.keys('eviction'))) >= waiting.length) return false
    const victim = loaderDependencies.policy.victim(this.slotViews(now), firstWaiting, now) as AdapterKey | undefined
    // Every slot is in use or already being freed; the pending loads stay queued and are checked again when a request on the engine ends.
    if (victim === undefined) return false
    hidden.hide(victim, 'eviction', now)
    publisher.publish()
    return true
  }

  /**
   * Unloads a hidden adapter once all peers have received the notice, unless a request has started to use it.
   *
   * @returns whether an adapter was unloaded, is being unloaded or was shown again
   */
  async evictHidden (now: number, signal: AbortSignal): Promise<boolean> {
    const { endpoint, reservations, queue, hidden, dispatcher, publisher, loaderDependencies } = this.dependencies
    const due = hidden.keys('eviction').find((key) => !reservations.unloading.has(key) && now >= (hidden.noticeReceivedAt(key) ?? Infinity))
    if (due === undefined) return false
    if (!reservations.held.has(due) || loaderDependencies.workTracker.running(endpoint.id, due, now) > 0) {
      // A request for the adapter was already on its way when the notice was sent. The engine would unload the adapter only after
      // this request has ended, and the pending load would be blocked until then; another adapter can be evicted sooner.
      hidden.show(due)
      publisher.publish()
      return true
    }
    const answer = await dispatcher.unload(due, queue.find(due), signal)
    if (answer === 'holds') {
      reservations.unloaded(due, true)
      hidden.show(due)
    } else if (answer === 'accepted') reservations.unloadAccepted(due)
    // Without an answer it is unknown whether the adapter was unloaded: it stays hidden, and the order is sent again.
    else if (answer === undefined) hidden.hide(due, 'eviction', loaderDependencies.clock.now())
    else if (!reservations.unloading.has(due)) hidden.show(due)
    publisher.changed()
    return answer === 'holds' || answer === 'accepted'
  }

  /** Repeats the unload orders of adapters that requests were still using, to learn whether they are unloaded by now. */
  async confirmDepartures (signal: AbortSignal): Promise<void> {
    const { endpoint, reservations, queue, hidden, dispatcher, publisher, loaderDependencies } = this.dependencies
    for (const key of [...reservations.unloading]) {
      if (signal.aborted || !loaderDependencies.mayOrder(endpoint.id)) return
      if (loaderDependencies.workTracker.running(endpoint.id, key, loaderDependencies.clock.now()) > 0) continue
      if (await dispatcher.unload(key, queue.find(key), signal) !== 'holds') continue
      reservations.unloaded(key, false)
      hidden.show(key)
      publisher.changed()
    }
  }

  private slotViews (now: number): SlotView[] {
    const { endpoint, reservations, queue, hidden, loaderDependencies } = this.dependencies
    return [...reservations.held].filter(([key]) => !hidden.has(key)).map(([key, slot]) => ({
      adapter: key,
      pins: loaderDependencies.workTracker.running(endpoint.id, key, now) + (now - slot.lastRequestedAt < REQUESTED_PIN_MILLISECONDS ? 1 : 0),
      loadedAt: slot.loadedAt,
      lastUsedAt: slot.lastUsedAt,
      waiting: queue.find(key) === undefined ? 0 : 1,
      otherCopies: Math.max(0, loaderDependencies.locations.holders(key).size - 1)
    }))
  }
}
