/** Forecasts how long an engine takes to the first event of a request, from the work that it has in hand. */
import type { EndpointId } from '@limpetwinch/core'
import type { EngineSpeeds } from '@limpetwinch/decisions'
import type { EngineShape } from '../routes/configuration.js'
import type { OutstandingWork } from './endpoint-work-tracker.js'

/** Taking up a request, the first step of the batch and the way back. */
const BASE_MILLISECONDS = 60
/** A request that finds the batch or the memory full waits about as long as a running one still takes. */
const FULL_ENGINE_WAIT_MILLISECONDS = 600
/** Part of the memory that may be filled before new requests are taken to wait. */
const FULL_MEMORY_SHARE = 0.92
/** Weight of the newest observation. */
const SMOOTHING = 0.15
const MAXIMUM_SLOWNESS = 10
const MINIMUM_SLOWNESS = 0.5

/** Forecasts for all engines. */
export class FirstEventForecast {
  private readonly slowness = new Map<EndpointId, number>()
  private readonly speeds: EngineSpeeds

  /** @param speeds - of all engines */
  constructor (speeds: EngineSpeeds) {
    this.speeds = speeds
  }

  /**
   * @param endpoint - which engine
   * @param shape - what its service's engines are
   * @param inHand - work of all instances there
   * @param uncachedTokens - of this prompt
   * @param memoryTokens - that the request takes
   * @returns milliseconds to the first event
   */
  milliseconds (endpoint: EndpointId, shape: EngineShape, inHand: OutstandingWork, uncachedTokens: number, memoryTokens: number): number {
    const reading = this.speeds.prefillMilliseconds(endpoint, inHand.prefillTokens + uncachedTokens)
    const full = inHand.requests >= shape.batchSlots || inHand.memoryTokens + memoryTokens > shape.memoryTokens * FULL_MEMORY_SHARE
    const expected = BASE_MILLISECONDS + reading + (full ? FULL_ENGINE_WAIT_MILLISECONDS : 0)
    return expected * (this.slowness.get(endpoint) ?? 1)
  }

  /** Compares a forecast with what came. @param readTokens - of the prompt and of those before it */
  observe (endpoint: EndpointId, forecast: number, observed: number, readTokens: number): void {
    this.speeds.recordPrefill(endpoint, readTokens, observed - BASE_MILLISECONDS)
    const before = this.slowness.get(endpoint) ?? 1
    const ratio = Math.min(MAXIMUM_SLOWNESS, Math.max(MINIMUM_SLOWNESS, observed / Math.max(1, forecast / before)))
    this.slowness.set(endpoint, before + SMOOTHING * (ratio - before))
  }

  /** The engine is gone or started again. */
  forget (endpoint: EndpointId): void {
    this.slowness.delete(endpoint)
    this.speeds.forget(endpoint)
  }
}
