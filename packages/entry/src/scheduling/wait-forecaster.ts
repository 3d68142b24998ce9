/** Forecasts how long a request will take on one engine, from recent requests to that engine. */
import type { EngineSettings } from '@limpetwinch/core'
import { ServiceRate } from '@limpetwinch/decisions'
import type { WaitForecast } from '@limpetwinch/decisions'
import { OUTPUT_TOKEN_COST } from './admission.js'

/**
 * Initial estimate of the time per output token. It is optimistic, so that no request is refused by an estimate before
 * anything was measured.
 */
const FIRST_MILLISECONDS_PER_TOKEN = 1
/** Age at which served tokens count 1/e in the service rate, so that the rate follows the engine's recent speed. */
const RATE_MEMORY_MILLISECONDS = 10_000
/** Weight of the latest response in the moving averages of the time per token and of the length of responses. */
const SMOOTHING = 0.05

/** What a forecast is based on. */
export interface ForecastInput {
  readonly maximumTokens: number
  /** Service that other requests are expected to use before this request is admitted, weighted tokens. */
  readonly costAhead: number
  /** Number of loads up to and including the load of the request's adapter; 0 if the adapter is loaded. */
  readonly loadsAhead: number
  /** Expected duration of one load. */
  readonly loadMilliseconds: number
}

/** Forecasts how long requests wait and run on one engine. The estimates follow the finished requests of that engine. */
export class WaitForecaster {
  private readonly rate: ServiceRate
  private millisecondsPerToken = FIRST_MILLISECONDS_PER_TOKEN
  /** Average fraction of the allowed output tokens that responses use, 0 to 1. Callers often allow more tokens than a response takes. */
  private shareOfMaximum = 0

  /** @param engine - the engine settings; the batch capacity sets the initial service rate */
  constructor (engine: EngineSettings) {
    this.rate = new ServiceRate(engine.batchCapacity * OUTPUT_TOKEN_COST / FIRST_MILLISECONDS_PER_TOKEN, RATE_MEMORY_MILLISECONDS)
  }

  /**
   * Records service that the engine has provided, in weighted tokens, and whether the engine was running requests since the
   * previous call.
   */
  served (cost: number, busy: boolean, now: number): void {
    this.rate.served(cost, busy, now)
  }

  /** Records a complete response and the time from its grant to its end, milliseconds. */
  answered (outputTokens: number, maximumTokens: number, milliseconds: number): void {
    if (outputTokens === 0) return
    this.millisecondsPerToken += SMOOTHING * (milliseconds / outputTokens - this.millisecondsPerToken)
    this.shareOfMaximum += SMOOTHING * (outputTokens / maximumTokens - this.shareOfMaximum)
  }

  /** @returns the expected time until the first token, and the expected time for generating the response */
  forecast (question: ForecastInput): WaitForecast {
    const queueing = question.costAhead / this.rate.rate
    const loading = question.loadsAhead * question.loadMilliseconds
    return {
      firstTokenMilliseconds: Math.max(queueing, loading),
      serviceMilliseconds: question.maximumTokens * this.shareOfMaximum * this.millisecondsPerToken
    }
  }
}
