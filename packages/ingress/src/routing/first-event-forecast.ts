/** Forecasts the time until an engine produces the first event of a request, from the outstanding work of the engine. */
import type { EndpointId } from '@limpetwinch/core'
import type { EngineSpeeds } from '@limpetwinch/decisions'
import type { EngineShape } from '../routes/configuration.js'
import type { OutstandingWork } from './endpoint-work-tracker.js'

/** Time until the first event that every request takes: accepting the request, the first step of its batch and the network round trip. */
const BASE_MILLISECONDS = 60
/** Expected wait when the batch or the memory of the engine is full: about the remaining time of a running request. */
const FULL_ENGINE_WAIT_MILLISECONDS = 600
/** Share of the engine's memory above which a new request, its own memory included, is expected to wait until a running request ends. */
const FULL_MEMORY_SHARE = 0.92
/** Weight of the latest observation in the moving average of an engine's slowness, the ratio of observed to forecast time. */
const SMOOTHING = 0.15
/** Bounds of the slowness that one observation may show, so that a single very late or very early first event does not distort the average. */
const MAXIMUM_SLOWNESS = 10
const MINIMUM_SLOWNESS = 0.5

/**
 * Forecasts how long an engine takes from receiving a request to the first event of the response stream. The forecast of each engine is
 * multiplied by its slowness, the average ratio of observed to forecast time.
 */
export class FirstEventForecast {
  private readonly slowness = new Map<EndpointId, number>()
  private readonly speeds: EngineSpeeds

  /** @param speeds - speeds at which the engines read prompts */
  constructor (speeds: EngineSpeeds) {
    this.speeds = speeds
  }

  /**
   * Forecasts the time from sending a request to the first event of its response stream.
   *
   * @param endpoint - the engine
   * @param shape - capacity of the engines of the service
   * @param outstanding - outstanding work of all instances on the engine
   * @param uncachedTokens - tokens of the prompt that the engine has to read
   * @param memoryTokens - engine memory that the request needs for its prompt and output, in tokens
   * @returns milliseconds until the first event
   */
  milliseconds (endpoint: EndpointId, shape: EngineShape, outstanding: OutstandingWork, uncachedTokens: number, memoryTokens: number): number {
    const reading = this.speeds.prefillMilliseconds(endpoint, outstanding.prefillTokens + uncachedTokens)
    const full = outstanding.requests >= shape.batchSlots || outstanding.memoryTokens + memoryTokens > shape.memoryTokens * FULL_MEMORY_SHARE
    const expected = BASE_MILLISECONDS + reading + (full ? FULL_ENGINE_WAIT_MILLISECONDS : 0)
    return expected * (this.slowness.get(endpoint) ?? 1)
  }

  /**
   * Learns the reading speed and the slowness of an engine when the first event of a stream has arrived.
   *
   * @param forecast - forecast time until the first event, milliseconds
   * @param observed - observed time until the first event, milliseconds
   * @param readTokens - tokens that the engine read in this time: those of the prompt and of the prompts that were read before it
   */
  observe (endpoint: EndpointId, forecast: number, observed: number, readTokens: number): void {
    this.speeds.recordPrefill(endpoint, readTokens, observed - BASE_MILLISECONDS)
    const previous = this.slowness.get(endpoint) ?? 1
    const ratio = Math.min(MAXIMUM_SLOWNESS, Math.max(MINIMUM_SLOWNESS, observed / Math.max(1, forecast / previous)))
    this.slowness.set(endpoint, previous + SMOOTHING * (ratio - previous))
  }

  /** Forgets an engine that has left or was restarted. */
  forget (endpoint: EndpointId): void {
    this.slowness.delete(endpoint)
    this.speeds.forget(endpoint)
  }
}
