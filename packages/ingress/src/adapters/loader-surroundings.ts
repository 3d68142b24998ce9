/** What the loads of one engine are ordered with. */
import type { EndpointId } from '@limpetwinch/core'
import type { EvictionPolicy } from '@limpetwinch/decisions'
import type { AdapterKey, Endpoint, ModelName } from '../routes/configuration.js'
import type { Urgency } from '../overlay/notice-outbox.js'
import type { LoadBoard } from '../routing/load-board.js'
import type { AdapterLocations } from './adapter-locations.js'
import type { OrderAnswer } from './engine-control.js'
import type { OrderSurroundings } from './engine-orders.js'
import type { HeldStatement } from './held-notices.js'
import type { ModelLoadPace } from './model-load-pace.js'
import type { WeightStorePace } from './weight-store-pace.js'

/** What a loader needs. */
export interface LoaderSurroundings extends OrderSurroundings {
  readonly locations: AdapterLocations
  readonly board: LoadBoard
  readonly policy: EvictionPolicy
  readonly pace: ModelLoadPace
  readonly storePace: WeightStorePace
  /** @returns the newest announced version; 0 for none */
  readonly newestVersion: (key: AdapterKey) => number
  /** @returns whether one more engine with the model is worth a load from the weight store */
  readonly isModelNeeded: (endpoint: Endpoint, model: ModelName) => boolean
  /** @returns whether orders may be given now */
  readonly mayOrder: (endpoint: EndpointId) => boolean
  /** Tells all instances what the engine holds. */
  readonly publish: (statement: HeldStatement, urgency: Urgency) => void
  /** @returns milliseconds in which all instances have heard of it and answered */
  readonly noticeMilliseconds: () => number
  /** Someone else orders this engine, or another one listens at its address. */
  readonly onLost: (endpoint: EndpointId, reason: OrderAnswer) => void
  /** The engine could not be reached. */
  readonly onSilent: (endpoint: EndpointId, reason: string) => void
}
