/**
 * Sends orders to one engine through `EngineOrders`, one at a time, and acts on the answers: pauses after a conflict, reads the
 * engine's report, and determines the outcome of orders without an answer.
 */
import type { FencingToken } from '@limpetwinch/core'
import type { PendingLoad } from '@limpetwinch/decisions'
import { modelOf } from '../routes/configuration.js'
import type { AdapterKey, Endpoint, ModelName } from '../routes/configuration.js'
import type { EngineOrder, EngineReport, OrderAnswer } from './engine-control.js'
import { EngineOrders } from './engine-orders.js'
import type { LoaderDependencies } from './loader-dependencies.js'
import type { SlotReservations } from './slot-reservations.js'
import { UnansweredOrders } from './unanswered-orders.js'

/** Delay before a report is read. Reports are some hundred milliseconds old; after this delay they include the last order. */
const REPORT_LAG_MILLISECONDS = 250
/** Pause after a connection to the engine failed. */
const UNREACHABLE_PAUSE_MILLISECONDS = 300
/** Pause after a conflict. An engine that is still carrying out an order answers the next order with a conflict; it finishes within a few pauses. */
const CONFLICT_PAUSE_MILLISECONDS = 25
/** Number of pauses after successive conflicts. After the next conflict, the engine's report is read. */
const MAXIMUM_CONFLICT_PAUSES = 2

/** Sends the orders to one engine under one fencing token. */
export class OrderDispatcher {
  private readonly endpoint: Endpoint
  private readonly reservations: SlotReservations
  private readonly dependencies: LoaderDependencies
  private readonly orders: EngineOrders
  private readonly unanswered = new UnansweredOrders()
  private readonly onReconciled: () => void
  private conflicts = 0
  private restarted = false

  /** @param onReconciled - called after a report of the engine was applied to the slot reservations */
  constructor (endpoint: Endpoint, token: FencingToken, reservations: SlotReservations, dependencies: LoaderDependencies, onReconciled: () => void) {
    this.endpoint = endpoint
    this.reservations = reservations
    this.dependencies = dependencies
    this.orders = new EngineOrders(endpoint, token, dependencies)
    this.onReconciled = onReconciled
  }

  /**
   * Orders the load of an adapter.
   *
   * @param version - 0 for the latest
   * @param pendingLoad - load that the order is for
   * @returns the engine's answer; undefined when it gave none
   */
  async load (key: AdapterKey, version: number, pendingLoad: PendingLoad | undefined, signal: AbortSignal): Promise<OrderAnswer | undefined> {
    return await this.sendAdapterOrder('load', key, version, pendingLoad, signal)
  }

  /**
   * Orders the unload of an adapter.
   *
   * @param pendingLoad - pending load of the same adapter, if there is one
   * @returns the engine's answer; undefined when it gave none
   */
  async unload (key: AdapterKey, pendingLoad: PendingLoad | undefined, signal: AbortSignal): Promise<OrderAnswer | undefined> {
    return await this.sendAdapterOrder('unload', key, 0, pendingLoad, signal)
  }

  /**
   * Orders the load of a whole model. The engine accepts no other order until the model is loaded.
   *
   * @returns whether the order was accepted
   */
  async loadModel (model: ModelName, signal: AbortSignal): Promise<boolean> {
    const order: EngineOrder = { operation: 'load', model, adapter: undefined, version: undefined, ifSequence: this.reservations.sequence }
    if (await this.send(order, undefined, undefined, signal) !== 'accepted') return false
    this.reservations.sequence += 1
    return true
  }

  /**
   * Reads the engine's report and applies it to the slot reservations. Waits first, so that the report includes the last order.
   *
   * @returns whether a report of this incarnation was read
   */
  async reconcile (signal: AbortSignal): Promise<boolean> {
    await this.dependencies.clock.sleep(REPORT_LAG_MILLISECONDS, signal)
    if (signal.aborted) return false
    const report = await this.orders.report()
    if (report === undefined || this.hasRestarted(report)) return false
    this.unanswered.sequenceReported(report.sequence)
    this.reservations.applyReport(report, this.dependencies.clock.now())
    this.onReconciled()
    return true
  }

  /**
   * An engine may return under its id before its entry says so, with another software version. An adapter that is loaded then would draw
   * streams that count as begun at the version of the entry.
   */
  private hasRestarted ({ born }: EngineReport): boolean {
    const { id, born: known } = this.endpoint
    if (born === undefined || known === 0 || born === known) return false
    this.dependencies.logger.info('An engine has restarted and its entry does not say so yet; it gets no orders.', { endpoint: id, born, known })
    this.restarted = true
    return true
  }

  private async sendAdapterOrder (
    operation: 'load' | 'unload', key: AdapterKey, version: number, pendingLoad: PendingLoad | undefined, signal: AbortSignal
  ): Promise<OrderAnswer | undefined> {
    const adapter = key.slice(key.indexOf('/') + 1)
    const order = { operation, model: modelOf(key), adapter, version: version === 0 ? undefined : version, ifSequence: this.reservations.sequence }
    return await this.send(order, key, pendingLoad, signal)
  }

  private async send (
    order: EngineOrder, key: AdapterKey | undefined, pendingLoad: PendingLoad | undefined, signal: AbortSignal
  ): Promise<OrderAnswer | undefined> {
    const { clock, onLost, onUnreachable: onSilent } = this.dependencies
    const { operation, version, ifSequence } = order
    const isRepeated = key !== undefined && this.isInProgress(operation, key)
    const result = await this.orders.send(order, pendingLoad)
    if (result.isErr()) {
      if (result.error.outcome === 'not_run') {
        onSilent(this.endpoint.id, result.error.message)
        await clock.sleep(UNREACHABLE_PAUSE_MILLISECONDS, signal)
      } else if (key !== undefined) this.unanswered.add({ operation, key, version: version ?? 0, ifSequence })
      return undefined
    }
    const answer = result.value
    if (answer === 'stale-token' || answer === 'other-endpoint') onLost(this.endpoint.id, answer)
    const isAccepted = answer === 'accepted' || (answer === 'holds' && operation === 'unload')
    // An engine does not count the order of a load or unload in progress again, so that older orders can still be carried out after it.
    if (isAccepted && !isRepeated) this.unanswered.clear()
    if (answer === 'conflict') await this.resolveConflict(signal)
    else this.conflicts = 0
    if (answer === 'refused') await this.reconcile(signal)
    return answer
  }

  private isInProgress (operation: EngineOrder['operation'], key: AdapterKey): boolean {
    return operation === 'load' ? this.reservations.inFlight.has(key) : this.reservations.unloading.has(key)
  }

  private async resolveConflict (signal: AbortSignal): Promise<void> {
    const { clock, logger } = this.dependencies
    if (this.unanswered.needReport(this.reservations)) return await this.readReportAfterConflict(signal)
    if (this.unanswered.assumeCarriedOut(this.reservations, clock.now())) {
      logger.debug('A conflict shows that an order without an answer was carried out.', {
        endpoint: this.endpoint.id, ifSequence: this.reservations.sequence - 1
      })
      return
    }
    this.conflicts += 1
    if (this.conflicts <= MAXIMUM_CONFLICT_PAUSES) return await clock.sleep(CONFLICT_PAUSE_MILLISECONDS, signal)
    await this.readReportAfterConflict(signal)
  }

  private async readReportAfterConflict (signal: AbortSignal): Promise<void> {
    this.conflicts = 0
    await this.reconcile(signal)
    if (this.restarted) this.dependencies.onLost(this.endpoint.id, 'restarted')
  }
}
