/** What a loader, which orders the loads of one engine, needs from the rest of the instance. */
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

/** Dependencies of a loader. */
export interface LoaderDependencies extends OrderDependencies {
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly policy: EvictionPolicy
  readonly modelLoadLimiter: ModelLoadRateLimiter
  readonly storeLimiter: WeightStoreLimiter
  /** @returns the latest announced version of the adapter; 0 for none */
  readonly latestVersion: (key: AdapterKey) => number
  /** @returns monotonic time from which copies of a version are replaced although requests wait for them; undefined when no newer one was announced */
  readonly recallsPreviousAt: (key: AdapterKey, version: number) => number | undefined
  /** @returns whether loading the model on one more engine is worth a load from the weight store */
  readonly isModelNeeded: (endpoint: Endpoint, model: ModelName) => boolean
  /** @returns whether orders may be sent to the engine now */
  readonly mayOrder: (endpoint: EndpointId) => boolean
  /** Sends a notice about what the engine holds to all instances. */
  readonly publish: (update: HeldAdaptersUpdate, urgency: Urgency) => void
  /** @returns milliseconds within which all instances have received a notice and their replies have arrived */
  readonly noticeRoundTripMilliseconds: () => number
  /** Called when the engine has a newer load owner, another endpoint listens at its address, or it has restarted. */
  readonly onLost: (endpoint: EndpointId, reason: OrderAnswer | 'restarted') => void
  /** Called when an order did not reach the engine. */
  readonly onUnreachable: (endpoint: EndpointId, reason: string) => void
}
