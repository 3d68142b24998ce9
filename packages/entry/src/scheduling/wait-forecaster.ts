/** Forecasts how long a request will take on one engine, from recent requests to that engine. */
import type { EngineSettings } from '@limpetwinch/core'
import { ServiceRate } from '@limpetwinch/decisions'
import type { WaitForecast } from '@limpetwinch/decisions'
import { OUTPUT_TOKEN_COST } from './admission.js'

/** Initial estimate. It is optimistic, so that no request is refused because of an estimate before anything was measured. */
const FIRST_MILLISECONDS_PER_TOKEN = 1
const RATE_MEMORY_MILLISECONDS = 10_000
const SMOOTHING = 0.05

/** What a forecast is based on. */
export interface ForecastInput {
  readonly maximumTokens: number
  /** Service that the engine provides before the request, weighted tokens. */
  readonly costAhead: number
  /** Loads up to and including the one of the request's adapter; 0 if the adapter is loaded. */
  readonly loadsAhead: number
  readonly loadMilliseconds: number
}

/** Forecasts waits and updates its estimates from finished requests. */
export class WaitForecaster {
  private readonly rate: ServiceRate
  private millisecondsPerToken = FIRST_MILLISECONDS_PER_TOKEN
  /** Average share of the allowed output tokens that responses use; callers often allow more tokens than a response takes. */
  private shareOfMaximum = 0

  /** @param engine - the engine settings, whose batch capacity sets the initial rate */
  constructor (engine: EngineSettings) {
    this.rate = new ServiceRate(engine.batchCapacity * OUTPUT_TOKEN_COST / FIRST_MILLISECONDS_PER_TOKEN, RATE_MEMORY_MILLISECONDS)
  }

  /** Records provided service, and whether the engine was busy until now. */
  served (cost: number, busy: boolean, now: number): void {
    this.rate.served(cost, busy, now)
  }

  /** Records a complete response. */
  answered (outputTokens: number, maximumTokens: number, milliseconds: number): void {
    if (outputTokens === 0) return
    this.millisecondsPerToken += SMOOTHING * (milliseconds / outputTokens - this.millisecondsPerToken)
    this.shareOfMaximum += SMOOTHING * (outputTokens / maximumTokens - this.shareOfMaximum)
  }

  /** @returns the expected times until the first token and for generating the response */
  forecast (question: ForecastInput): WaitForecast {
    const queueing = question.costAhead / this.rate.rate
    const loading = question.loadsAhead * question.loadMilliseconds
    return {
      firstTokenMilliseconds: Math.max(queueing, loading),
      serviceMilliseconds: question.maximumTokens * this.shareOfMaximum * this.millisecondsPerToken
    }
  }
}
