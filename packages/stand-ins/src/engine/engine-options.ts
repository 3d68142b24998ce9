/** How a stand-in engine behaves. */
import type { BatchOptions } from './batch.js'
import type { EngineFaults } from './engine-bodies.js'
import type { PrefixCacheOptions } from './prefix-cache.js'

/** Everything that can be set when an engine is started. */
export interface StandInEngineOptions extends BatchOptions, PrefixCacheOptions {
  /** Endpoint id, for history lines. */
  readonly name: string
  /** URL of the platform whose weight store loads go through; without it a load takes `loadMilliseconds`. */
  readonly platform: string | undefined
  readonly loadMilliseconds: number
  /** Adapters held at once. */
  readonly slots: number
  readonly baseModel: string
  readonly role: string
  /** Whether an order with an old fencing token is refused. */
  readonly fencing: 'refuses' | 'ignores'
  /** Milliseconds by which the report is late. */
  readonly reportLag: number
  /** Milliseconds between reports. */
  readonly reportInterval: number
  /** Milliseconds for which an ended answer can still be resumed. */
  readonly keepEndedMilliseconds: number
  /** A file for history lines. */
  readonly history: string | undefined
  readonly faults: EngineFaults
}

/** An engine of today's size, on a small scale. */
export const ENGINE_DEFAULTS: StandInEngineOptions = {
  name: 'engine',
  platform: undefined,
  loadMilliseconds: 250,
  slots: 4,
  baseModel: 'base-1',
  role: 'generate',
  fencing: 'refuses',
  stepMilliseconds: 5,
  batchCapacity: 16,
  queueLimit: 256,
  prefillTokensPerStep: 512,
  cacheEntries: 512,
  cacheEventLag: 500,
  cacheGapEvery: 20,
  reportLag: 300,
  reportInterval: 100,
  keepEndedMilliseconds: 60_000,
  history: undefined,
  faults: {}
}
