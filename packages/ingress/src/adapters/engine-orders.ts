/** Orders and reports of one engine under one token, with a line in the log for each. */
import type { Clock, FencingToken, LimpetwinchError, Logger } from '@limpetwinch/core'
import type { PendingLoad } from '@limpetwinch/decisions'
import type { Result } from 'neverthrow'
import type { Endpoint } from '../routes/configuration.js'
import type { EngineControl, EngineOrder, EngineReport, OrderAnswer } from './engine-control.js'

/** What orders need. */
export interface OrderDependencies {
  readonly control: EngineControl
  readonly clock: Clock
  readonly logger: Logger
  /** The name of this instance's host, as endpoints see who orders them. */
  readonly holder: string
}

/** The control side of one engine. */
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
   * Gives an order. One without an answer may have been carried out, or may be later. The next one bears the same
   * condition: if it is accepted, this one can no longer take effect; if it meets a conflict, what the engine holds is
   * read anew.
   *
   * @param want - what the order is for; it learns what held it up
   */
  async send (order: EngineOrder, want: PendingLoad | undefined): Promise<Result<OrderAnswer, LimpetwinchError>> {
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
      waited: want === undefined ? undefined : Math.round(clock.now() - want.firstRequestedAt),
      heldUpBy: want?.heldUpBy
    })
    if (result.isErr() && want !== undefined) want.heldUpBy = 'a silent engine'
    return result
  }

  /** @returns what the engine says of itself; undefined when it says nothing */
  async report (): Promise<EngineReport | undefined> {
    const { id, address } = this.endpoint
    const report = await this.dependencies.control.report(id, address)
    if (report.isOk()) return report.value
    this.dependencies.logger.warn('An engine does not report.', { endpoint: id, reason: report.error.message })
    return undefined
  }
}
