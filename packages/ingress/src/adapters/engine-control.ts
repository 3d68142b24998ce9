/** Orders to engines, and what they report. */
import type { FencingToken, EndpointId, LimpetwinchError } from '@limpetwinch/core'
import type { Result } from 'neverthrow'
import type { HeldAdapter, ModelName } from '../routes/configuration.js'

/** Who orders whom. */
export interface OrderTarget {
  readonly endpoint: EndpointId
  /** `host:port`. */
  readonly address: string
  /** The name of the instance's host; two processes in turn on one host are one holder. */
  readonly holder: string
  readonly token: FencingToken
}

/** One order. */
export interface EngineOrder {
  readonly operation: 'load' | 'unload'
  readonly model: ModelName
  /** Undefined for the whole model. */
  readonly adapter: string | undefined
  /** Undefined for the newest. */
  readonly version: number | undefined
  /** Carried out only while the engine has accepted exactly so many orders. */
  readonly ifSequence: number
}

/** What an engine says to an order. */
export type OrderAnswer =
  /** It is being carried out. */
  | 'accepted'
  /** It is already so. */
  | 'holds'
  /** Another order is under way, or the engine has accepted another number of orders. */
  | 'conflict'
  /** Someone with a newer token has given orders. */
  | 'stale-token'
  /** Another endpoint listens at the address. */
  | 'other-endpoint'
  | 'refused'

/** What an engine reports of itself; some hundred milliseconds old. */
export interface EngineReport {
  /** Orders accepted in this life. */
  readonly sequence: number
  readonly busy: boolean
  readonly models: readonly ModelName[]
  /** Models that it loads from its own copy, without the weight store. */
  readonly cachedModels: readonly ModelName[]
  readonly held: readonly HeldAdapter[]
  /** Adapters on their way; they take slots. */
  readonly inFlight: readonly HeldAdapter[]
}

/** The control side of engines. */
export abstract class EngineControl {
  /**
   * Gives an order.
   *
   * @returns the engine's answer; `endpoint-refused` when it was certainly not told, `endpoint-failed` when it may have
   *   been and may yet carry the order out
   */
  abstract order (target: OrderTarget, order: EngineOrder): Promise<Result<OrderAnswer, LimpetwinchError>>

  /** @returns the engine's report */
  abstract report (endpoint: EndpointId, address: string): Promise<Result<EngineReport, LimpetwinchError>>
}
