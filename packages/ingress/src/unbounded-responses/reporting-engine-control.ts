/** Engine control that records engines whose responses to orders, or reports, have no end. */
import { isUnboundedResponse } from '@limpetwinch/core'
import type { EndpointId, LimpetwinchError } from '@limpetwinch/core'
import type { Result } from 'neverthrow'
import { EngineControl } from '../adapters/engine-control.js'
import type { EngineOrder, EngineReport, OrderAnswer, OrderTarget } from '../adapters/engine-control.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { UnboundedResponses } from './unbounded-responses.js'

/** Passes orders and reports on to the control of the platform. */
export class ReportingEngineControl extends EngineControl {
  private readonly control: EngineControl
  private readonly unbounded: Pick<UnboundedResponses, 'recordFailure'>
  private readonly directory: Pick<EndpointDirectory, 'find'>

  /**
   * @param control - sends the orders and reads the reports
   * @param unbounded - told of responses without an end
   * @param directory - names the process that is at fault
   */
  constructor (control: EngineControl, unbounded: Pick<UnboundedResponses, 'recordFailure'>, directory: Pick<EndpointDirectory, 'find'>) {
    super()
    this.control = control
    this.unbounded = unbounded
    this.directory = directory
  }

  override async order (target: OrderTarget, order: EngineOrder): Promise<Result<OrderAnswer, LimpetwinchError>> {
    return this.followed(target.endpoint, await this.control.order(target, order))
  }

  override async report (endpoint: EndpointId, address: string): Promise<Result<EngineReport, LimpetwinchError>> {
    return this.followed(endpoint, await this.control.report(endpoint, address))
  }

  private followed<Value> (endpoint: EndpointId, result: Result<Value, LimpetwinchError>): Result<Value, LimpetwinchError> {
    const known = this.directory.find(endpoint)
    if (result.isErr() && known !== undefined && isUnboundedResponse(result.error)) this.unbounded.recordFailure(known, 'body', 'order')
    return result
  }
}
