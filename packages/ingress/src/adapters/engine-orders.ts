/**
 * Sends single orders to one engine under one fencing token through `EngineControl`, and reads the engine's reports. Logs each order
 * and each failed report; `OrderDispatcher` acts on the answers.
 */
import type { Clock, FencingToken, LimpetwinchError, Logger } from '@limpetwinch/core'
import type { PendingLoad } from '@limpetwinch/decisions'
import type { Result } from 'neverthrow'
import type { Endpoint } from '../routes/configuration.js'
import type { EngineControl, EngineOrder, EngineReport, OrderAnswer } from './engine-control.js'

/** What is needed to send orders to engines and to log them. */
export interface OrderDependencies {
  readonly control: EngineControl
  readonly clock: Clock
  readonly logger: Logger
  /** Name of this instance's host, by which endpoints identify the load owner. */
  readonly holder: string
}

/** Sends orders to one engine and reads its reports. */
export class EngineOrders {
  private readonly endpoint: Endpoint
  private readonly token: FencingToken
  private readonly dependencies: OrderDependencies

  constructor (endpoint: Endpoint, token: FencingToken, dependencies: OrderDependencies) {
    this.endpoint = endpoint
    this.token = token
    this.dependencies = dependencies
  }

  /**
   * Sends an order. An order without an answer may have been carried out, or may still be. The next order carries the same number
   * of accepted orders as its condition: if the engine accepts the next order, the unanswered one can no longer take effect; if the
   * engine answers with a conflict, the caller finds out what became of the unanswered one.
   *
   * @param pendingLoad - load that the order is for; an order without an answer is recorded there as the reason for its delay
   */
  async send (order: EngineOrder, pendingLoad: PendingLoad | undefined): Promise<Result<OrderAnswer, LimpetwinchError>> {
    const { control, holder, logger, clock } = this.dependencies
    const { id, address } = this.endpoint
    const result = await control.order({ endpoint: id, address, holder, token: this.token }, order)
    const { operation, model, adapter = model, version, ifSequence } = order
    logger.info('An order was given.', {
      endpoint: id,
      operation,
      adapter,
      version,
      ifSequence,
      token: this.token,
      outcome: result.isOk() ? result.value : result.error.kind,
      waited: pendingLoad === undefined ? undefined : Math.round(clock.now() - pendingLoad.firstRequestedAt),
      heldUpBy: pendingLoad?.heldUpBy
    })
    if (result.isErr() && pendingLoad !== undefined) pendingLoad.heldUpBy = 'a silent engine'
    return result
  }

  /** @returns the engine's report; undefined when it sends none */
  async report (): Promise<EngineReport | undefined> {
    const { id, address } = this.endpoint
    const report = await this.dependencies.control.report(id, address)
    if (report.isOk()) return report.value
    this.dependencies.logger.warn('An engine did not send a report.', { endpoint: id, reason: report.error.message })
    return undefined
  }
}
