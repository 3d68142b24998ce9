/**
 * Interface to the engines, implemented for each platform: the types of orders, answers and reports, and one call for each
 * order or report. `EngineOrders` and `OrderDispatcher` use this interface.
 */
import type { FencingToken, EndpointId, LimpetwinchError } from '@limpetwinch/core'
import type { Result } from 'neverthrow'
import type { HeldAdapter, ModelName } from '../routes/configuration.js'

/** The engine that an order goes to, and the load owner that sends it. */
export interface OrderTarget {
  readonly endpoint: EndpointId
  /** `host:port`. */
  readonly address: string
  /** Name of the load owner's host; a restarted process on the same host is the same load owner. */
  readonly holder: string
  readonly token: FencingToken
}

/** An order to load or unload an adapter, or to load a whole model. */
export interface EngineOrder {
  readonly operation: 'load' | 'unload'
  readonly model: ModelName
  /** Undefined for the whole model. */
  readonly adapter: string | undefined
  /** Version of the adapter; undefined for the latest. */
  readonly version: number | undefined
  /** The engine carries out the order only if it has accepted exactly this many orders. */
  readonly ifSequence: number
}

/** An engine's answer to an order. */
export type OrderAnswer =
  /** The engine carries out the order. */
  | 'accepted'
  /** Nothing is left to do: the adapter is loaded, or unloaded, already. */
  | 'holds'
  /** The engine is carrying out another order, or has accepted a different number of orders than the condition says. */
  | 'conflict'
  /** The engine has received an order with a newer fencing token. */
  | 'stale-token'
  /** Another endpoint listens at the address. */
  | 'other-endpoint'
  /** The engine rejects the order for any other reason. */
  | 'refused'

/** State that an engine reports about itself, some hundred milliseconds old. */
export interface EngineReport {
  /** Start time of the incarnation that reports, Unix milliseconds; undefined when not stated. */
  readonly born?: number | undefined
  /** Number of orders accepted in this incarnation. */
  readonly sequence: number
  readonly busy: boolean
  readonly models: readonly ModelName[]
  /** Models that the engine can load from its own cache, without the weight store. */
  readonly cachedModels: readonly ModelName[]
  readonly held: readonly HeldAdapter[]
  /** Adapters being loaded; they occupy slots. */
  readonly inFlight: readonly HeldAdapter[]
}

/** Client of the engines' control interface. */
export abstract class EngineControl {
  /**
   * Sends an order.
   *
   * @returns the engine's answer; the error `endpoint-refused` when the order certainly did not reach the engine,
   *   `endpoint-failed` when it may have, and the engine may still carry it out
   */
  abstract order (target: OrderTarget, order: EngineOrder): Promise<Result<OrderAnswer, LimpetwinchError>>

  /** @returns the engine's report of its current state */
  abstract report (endpoint: EndpointId, address: string): Promise<Result<EngineReport, LimpetwinchError>>
}
