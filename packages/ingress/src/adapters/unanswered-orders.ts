/**
 * Tracks orders that an engine has not answered.
 *
 * Each order carries, as its condition, the number of orders that the engine has accepted as far as the load owner knows. The engine
 * carries out an order only if this number equals its own count, and then increases the count. Of several orders with the same
 * number, at most one can therefore have been carried out.
 */
import type { AdapterKey } from '../routes/configuration.js'
import type { SlotReservations } from './slot-reservations.js'

interface UnansweredOrder {
  readonly operation: 'load' | 'unload'
  readonly key: AdapterKey
  readonly version: number
  /** The condition: number of orders that the engine had accepted, as known to the load owner when this order was sent. */
  readonly ifSequence: number
}

/**
 * Unanswered orders of one engine whose outcome is unknown.
 *
 * A conflict right after an unanswered order shows that the order was carried out, so the engine's report is not needed. Reading
 * the report would block all loads of the engine for a quarter of a second each time, because the report lags by some hundred
 * milliseconds. This would happen often, since up to a third of the answers may be lost.
 */
export class UnansweredOrders {
  private orders: UnansweredOrder[] = []
  /**
   * Whether every order that the engine may still carry out is known here. Orders of an earlier loader, of this host's last process or of another
   * host, stay possible until the engine accepts an order of this loader: then its count has passed all of their conditions.
   */
  private isComplete = false

  /** Adds an order without an answer. */
  add (order: UnansweredOrder): void {
    this.orders = [...this.orders.filter(({ ifSequence }) => ifSequence === order.ifSequence), order]
  }

  /** Removes all orders after the engine accepted and counted a newer one: none of them, nor of an earlier loader's, can take effect any more. */
  clear (): void {
    this.orders = []
    this.isComplete = true
  }

  /** Removes the orders whose number is lower than the count of accepted orders in the engine's report: the report shows their outcome. */
  sequenceReported (sequence: number): void {
    this.orders = this.orders.filter(({ ifSequence }) => ifSequence >= sequence)
  }

  /**
   * Whether only the engine's report can tell which order caused a conflict: an order of an earlier loader may have been carried out in place
   * of the unanswered ones, or there are more unanswered loads than fit.
   *
   * @returns whether the unanswered orders, if there are any, do not explain a conflict
   */
  needReport (reservations: SlotReservations): boolean {
    return this.unsettled(reservations).length > 0 && (!this.isComplete || this.isBeyondSlots(reservations))
  }

  /**
   * Explains a conflict by an unanswered order. One of the unanswered orders was carried out, but it is unknown which one. All are
   * assumed to have been carried out, so that no slot that a load may have taken is assigned again. The later checks of loads and
   * unloads determine which order it was.
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

  /**
   * Two load orders for the same slot can both stay unanswered, although the engine carried out only one of them. The load owner
   * confirms the completion of a load by sending its order again. If the load owner assumed that both loads were carried out, it would
   * also send the order of the other load again. The engine would then carry out that order too, exceed its slots and crash. Only the
   * engine's report tells which of the loads was carried out.
   *
   * @returns whether there are more unanswered loads than fit
   */
  private isBeyondSlots (reservations: SlotReservations): boolean {
    const loads = this.unsettled(reservations).filter(({ operation, key }) =>
      operation === 'load' && !reservations.inFlight.has(key) && !reservations.held.has(key))
    const keys = [...new Set(loads.map(({ key }) => key))]
    return reservations.countFitting(keys) < keys.length
  }

  private unsettled (reservations: SlotReservations): readonly UnansweredOrder[] {
    return this.orders.filter(({ ifSequence }) => ifSequence === reservations.sequence)
  }
}
