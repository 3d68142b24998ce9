/**
 * Tracks orders that an engine has not answered. Each order carries the number of orders that the engine had accepted, so at most
 * one of the orders with the same number can have been carried out.
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
 * Unanswered orders of one engine whose outcome is unknown.
 *
 * A conflict right after an unanswered order shows that the order was carried out, so the engine's report is not needed. Reading
 * it would block all loads of the engine for a quarter of a second each time, because the report lags by some hundred
 * milliseconds, and up to a third of the answers may be lost.
 */
export class UnansweredOrders {
  private orders: UnansweredOrder[] = []

  /** Adds an order without an answer. */
  add (order: UnansweredOrder): void {
    this.orders = [...this.orders.filter(({ ifSequence }) => ifSequence === order.ifSequence), order]
  }

  /** Removes all orders after the engine accepted a newer one: none of them can take effect any more. */
  clear (): void {
    this.orders = []
  }

  /** Removes the orders with a lower number than the engine reports: the report shows their outcome. */
  sequenceReported (sequence: number): void {
    this.orders = this.orders.filter(({ ifSequence }) => ifSequence >= sequence)
  }

  /**
   * Two loads for the same slot can both stay unanswered, although only one of them took the slot. If both were assumed to have been
   * carried out, the other one would be ordered again to confirm it; the engine would load it beyond its slots and crash. Only a
   * report tells which of them was carried out.
   *
   * @returns whether there are more unanswered loads than free slots
   */
  isBeyondSlots (reservations: SlotReservations): boolean {
    const loads = this.unsettled(reservations).filter(({ operation, key }) =>
      operation === 'load' && !reservations.inFlight.has(key) && !reservations.held.has(key))
    return new Set(loads.map(({ key }) => key)).size > reservations.free
  }

  /**
   * Explains a conflict by an unanswered order. One of the unanswered orders was carried out, but it is unknown which one. All are
   * assumed to have been, so that no slot that a load may have taken is assigned again. The later checks of loads and unloads
   * determine which of them were.
   *
   * @returns whether an unanswered order explains the conflict
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
