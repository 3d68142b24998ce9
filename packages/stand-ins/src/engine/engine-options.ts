/** Options of the stand-in engine and their defaults. */
import type { BatchOptions } from './batch.js'
import type { EngineFaults } from './engine-bodies.js'
import type { PrefixCacheOptions } from './prefix-cache.js'

/** Options of a stand-in engine. */
export interface StandInEngineOptions extends BatchOptions, PrefixCacheOptions {
  /** Endpoint id in history lines. */
  readonly name: string
  /** URL of the platform whose weight store provides the weights; undefined to let each load take `loadMilliseconds`. */
  readonly platform: string | undefined
  readonly loadMilliseconds: number
  /** Number of adapters that can be loaded at once. */
  readonly slots: number
  readonly baseModel: string
  readonly role: string
  /** Whether orders with a stale fencing token are refused or carried out. */
  readonly fencing: 'refuses' | 'ignores'
  /** Delay of the published report, in milliseconds. */
  readonly reportLag: number
  /** Interval between reports, in milliseconds. */
  readonly reportInterval: number
  /** Time for which an ended request can still be resumed, in milliseconds. */
  readonly keepEndedMilliseconds: number
  /** Path of a file to which history lines are appended. */
  readonly history: string | undefined
  readonly faults: EngineFaults
}

/** Defaults that model a present-day engine on a small scale. */
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
