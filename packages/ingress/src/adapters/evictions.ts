/** Makes room on one engine: hides victims ahead of the loads that need their slots, then unloads them. */
import type { LoadQueue, SlotView } from '@limpetwinch/decisions'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import type { HiddenAdapters } from './hidden-adapters.js'
import type { LoaderDependencies } from './loader-dependencies.js'
import type { OrderDispatcher } from './order-dispatcher.js'
import type { SlotReservations } from './slot-reservations.js'
import type { HeldAdapterPublisher } from './held-adapter-publisher.js'

/** A load is for requests that wait, and so is an adapter that is offered again; until peers have told that they run, nothing else may take its slot. */
const REQUESTED_PIN_MILLISECONDS = 250

/** What evictions are made with. */
export interface EvictionDependencies {
  readonly endpoint: Endpoint
  readonly reservations: SlotReservations
  readonly line: LoadQueue<AdapterKey>
  readonly hidden: HiddenAdapters
  readonly dispatcher: OrderDispatcher
  readonly publisher: HeldAdapterPublisher
  readonly loaderDependencies: LoaderDependencies
}

/** The evictions of one engine. */
export class Evictions {
  private readonly dependencies: EvictionDependencies

  constructor (dependencies: EvictionDependencies) {
    this.dependencies = dependencies
  }

  /**
   * Hides one more adapter where loads wait for a slot. Victims are hidden side by side and ahead of the orders: one
   * after the other, the notice alone would hold an engine to some ten loads a second.
   *
   * @param most - loads that may begin soon
   * @returns whether one was hidden
   */
  hideVictim (most: number, now: number): boolean {
    const { reservations: ledger, line, hidden, publisher: statements, loaderDependencies: around } = this.dependencies
    const { inFlight, unloading: departing, held } = ledger
    const waiting = line.keys().filter((key) => !inFlight.has(key) && !departing.has(key) && !held.has(key))
    const coming = ledger.free + hidden.keys('eviction').length
    const [first] = waiting
    if (first === undefined || coming >= Math.min(waiting.length, most)) return false
    const victim = around.policy.victim(this.slotViews(now), first, now) as AdapterKey | undefined
    // Every slot is in use or on its way out; the wants stay and are looked at again when a run ends.
    if (victim === undefined) return false
    hidden.hide(victim, 'eviction', now)
    statements.publish()
    return true
  }

  /** Unloads an adapter whose notice was heard, if nobody objects. @returns whether one was looked after */
  async evictHidden (now: number, signal: AbortSignal): Promise<boolean> {
    const { endpoint, reservations: ledger, line, hidden, dispatcher: desk, publisher: statements, loaderDependencies: around } = this.dependencies
    const due = hidden.keys('eviction').find((key) => !ledger.unloading.has(key) && now >= (hidden.noticeReceivedAt(key) ?? Infinity))
    if (due === undefined) return false
    if (!ledger.held.has(due) || around.workTracker.running(endpoint.id, due, now) > 0) {
      // A request was on its way when the notice went out. An engine would let it end first, and its slot would block
      // the load for as long; another adapter makes way sooner.
      hidden.show(due)
      statements.publish()
      return true
    }
    const answer = await desk.unload(due, line.find(due), signal)
    if (answer === 'holds') {
      ledger.unloaded(due, true)
      hidden.show(due)
    } else if (answer === 'accepted') ledger.unloadAccepted(due)
    // Whether it has left is not known without an answer: it stays hidden, and the order is given again.
    else if (answer === undefined) hidden.hide(due, 'eviction', around.clock.now())
    else if (!ledger.unloading.has(due)) hidden.show(due)
    statements.changed()
    return answer === 'holds' || answer === 'accepted'
  }

  /** Asks whether adapters have left that had to wait for their runs. */
  async confirmDepartures (signal: AbortSignal): Promise<void> {
    const { endpoint, reservations: ledger, line, hidden, dispatcher: desk, publisher: statements, loaderDependencies: around } = this.dependencies
    for (const key of [...ledger.unloading]) {
      if (signal.aborted || !around.mayOrder(endpoint.id)) return
      if (around.workTracker.running(endpoint.id, key, around.clock.now()) > 0) continue
      if (await desk.unload(key, line.find(key), signal) !== 'holds') continue
      ledger.unloaded(key, false)
      hidden.show(key)
      statements.changed()
    }
  }

  private slotViews (now: number): SlotView[] {
    const { endpoint, reservations: ledger, line, hidden, loaderDependencies: around } = this.dependencies
    return [...ledger.held].filter(([key]) => !hidden.has(key)).map(([key, slot]) => ({
      adapter: key,
      pins: around.workTracker.running(endpoint.id, key, now) + (now - slot.lastRequestedAt < REQUESTED_PIN_MILLISECONDS ? 1 : 0),
      loadedAt: slot.loadedAt,
      lastUsedAt: slot.lastUsedAt,
      waiting: line.find(key) === undefined ? 0 : 1,
      otherCopies: Math.max(0, around.locations.holders(key).size - 1)
    }))
  }
}
