/** How long a request is expected to take on one engine, from what was seen there of late. */
import type { EngineSettings } from '@limpetwinch/core'
import { ServiceRate } from '@limpetwinch/decisions'
import type { WaitForecast } from '@limpetwinch/decisions'
import { OUTPUT_TOKEN_COST } from './admission.js'

/** Hopeful, so that nothing is refused on a guess before anything was measured. */
const FIRST_MILLISECONDS_PER_TOKEN = 1
const RATE_MEMORY_MILLISECONDS = 10_000
const SMOOTHING = 0.05

/** What a forecast is made for. */
export interface ForecastInput {
  readonly maximumTokens: number
  /** Service that goes before it, tokens. */
  readonly costAhead: number
  /** Loads that go before its own, its own included; 0 when its adapter is loaded. */
  readonly loadsAhead: number
  readonly loadMilliseconds: number
}

/** Learns from finished requests. */
export class WaitForecaster {
  private readonly rate: ServiceRate
  private millisecondsPerToken = FIRST_MILLISECONDS_PER_TOKEN
  /** Callers often allow more tokens than an answer takes. */
  private shareOfMaximum = 0

  /** @param engine - its batch sets the first guess */
  constructor (engine: EngineSettings) {
    this.rate = new ServiceRate(engine.batchCapacity * OUTPUT_TOKEN_COST / FIRST_MILLISECONDS_PER_TOKEN, RATE_MEMORY_MILLISECONDS)
  }

  /** Tells of service, and whether requests wait or run. */
  served (cost: number, busy: boolean, now: number): void {
    this.rate.served(cost, busy, now)
  }

  /** Tells of a whole answer. */
  answered (outputTokens: number, maximumTokens: number, milliseconds: number): void {
    if (outputTokens === 0) return
    this.millisecondsPerToken += SMOOTHING * (milliseconds / outputTokens - this.millisecondsPerToken)
    this.shareOfMaximum += SMOOTHING * (outputTokens / maximumTokens - this.shareOfMaximum)
  }

  /** @returns what is expected */
  forecast (question: ForecastInput): WaitForecast {
    const queueing = question.costAhead / this.rate.rate
    const loading = question.loadsAhead * question.loadMilliseconds
    return {
      firstTokenMilliseconds: Math.max(queueing, loading),
      serviceMilliseconds: question.maximumTokens * this.shareOfMaximum * this.millisecondsPerToken
    }
  }
}
