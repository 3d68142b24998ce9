/** Control client of one simulated engine. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { Result } from 'neverthrow'
import { EngineControl } from '../../src/adapters/engine-control.js'
import type { EngineOrder, EngineReport, OrderAnswer, OrderTarget } from '../../src/adapters/engine-control.js'
import type { SimulatedEngine } from './simulated-engine.js'

/** Passes orders and report requests directly to the simulated engine. */
export class SimulatedEngineControl extends EngineControl {
  /** Time that a report takes; at 0 it needs no timer, so that tests with a clock of their own may use it. */
  reportMilliseconds = 0

  constructor (readonly engine: SimulatedEngine) {
    super()
  }

  override async order (_target: OrderTarget, order: EngineOrder): Promise<Result<OrderAnswer, LimpetwinchError>> {
    return await this.engine.order(order)
  }

  override async report (): Promise<Result<EngineReport, LimpetwinchError>> {
    if (this.reportMilliseconds > 0) await sleep(this.reportMilliseconds)
    return this.engine.report()
  }
}
