/** What the loads of one engine are ordered with. */
import type { EndpointId } from '@limpetwinch/core'
import type { EvictionPolicy } from '@limpetwinch/decisions'
import type { AdapterKey, Endpoint, ModelName } from '../routes/configuration.js'
import type { Urgency } from '../overlay/notice-outbox.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { AdapterLocations } from './adapter-locations.js'
import type { OrderAnswer } from './engine-control.js'
import type { OrderDependencies } from './engine-orders.js'
import type { HeldAdaptersUpdate } from './held-adapter-notices.js'
import type { ModelLoadRateLimiter } from './model-load-rate-limiter.js'
import type { WeightStoreLimiter } from './weight-store-limiter.js'

/** What a loader needs. */
export interface LoaderDependencies extends OrderDependencies {
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly policy: EvictionPolicy
  readonly modelLoadLimiter: ModelLoadRateLimiter
  readonly storeLimiter: WeightStoreLimiter
  /** @returns the newest announced version; 0 for none */
  readonly latestVersion: (key: AdapterKey) => number
  /** @returns whether one more engine with the model is worth a load from the weight store */
  readonly isModelNeeded: (endpoint: Endpoint, model: ModelName) => boolean
  /** @returns whether orders may be given now */
  readonly mayOrder: (endpoint: EndpointId) => boolean
  /** Tells all instances what the engine holds. */
  readonly publish: (statement: HeldAdaptersUpdate, urgency: Urgency) => void
  /** @returns milliseconds in which all instances have heard of it and answered */
  readonly noticeRoundTripMilliseconds: () => number
  /** Someone else orders this engine, or another one listens at its address. */
  readonly onLost: (endpoint: EndpointId, reason: OrderAnswer) => void
  /** The engine could not be reached. */
  readonly onUnreachable: (endpoint: EndpointId, reason: string) => void
}
