/**
 * Orders that an engine has not answered. Each bears the count of orders that the engine had accepted, so at most one of
 * those with the same count can have been carried out.
 */
import type { AdapterKey } from '../routes/configuration.js'
import type { SlotReservations } from './slot-reservations.js'

interface UnansweredOrder {
  readonly operation: 'load' | 'unload'
  readonly key: AdapterKey
  readonly version: number
  readonly ifSequence: number
}

/**
 * The orders in doubt of one engine.
 *
 * When a third of the answers are lost, each conflict that follows was answered by reading the engine's report, which is
 * some hundred milliseconds old: all loads of the engine stood still for a quarter of a second each time. A conflict right
 * after an unanswered order says that it was carried out, and no report is needed.
 */
export class UnansweredOrders {
  private orders: UnansweredOrder[] = []

  /** Notes an order without an answer. */
  add (order: UnansweredOrder): void {
    this.orders = [...this.orders.filter(({ ifSequence }) => ifSequence === order.ifSequence), order]
  }

  /** A newer order was accepted: none of these can take effect any more. */
  clear (): void {
    this.orders = []
  }

  /** The engine reports its count: those with a lower one are settled by what it reports. */
  sequenceReported (sequence: number): void {
    this.orders = this.orders.filter(({ ifSequence }) => ifSequence >= sequence)
  }

  /**
   * Two loads for one slot can both stay without an answer; one of them took the slot. Were both taken to have been carried
   * out, the other one would be asked for again, and the engine would take it for a load beyond its slots and end. Only a
   * report tells which one it was.
   *
   * @returns whether more loads are in doubt than there are slots for
   */
  isBeyondSlots (reservations: SlotReservations): boolean {
    const loads = this.unsettled(reservations).filter(({ operation, key }) => operation === 'load' && !reservations.inFlight.has(key) && !reservations.held.has(key))
    return new Set(loads.map(({ key }) => key)).size > reservations.free
  }

  /**
   * An order met a conflict. Of the orders in doubt one was carried out, and which one is not known: each is taken to have
   * been, so that no slot is given away that a load may have taken. Asking for arrival and leaving settles them.
   *
   * @returns whether the conflict is explained
   */
  assumeCarriedOut (reservations: SlotReservations, now: number): boolean {
    const orders = this.unsettled(reservations)
    this.orders = []
    if (orders.length === 0) return false
    reservations.sequence += 1
    for (const { operation, key, version } of orders) {
      if (operation === 'unload') reservations.unloading.add(key)
      else if (!reservations.inFlight.has(key)) reservations.inFlight.set(key, { version, orderedAt: now, lastCheckedAt: now })
    }
    return true
  }

  private unsettled (reservations: SlotReservations): readonly UnansweredOrder[] {
    return this.orders.filter(({ ifSequence }) => ifSequence === reservations.sequence)
  }
}
