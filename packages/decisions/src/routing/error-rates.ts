/** Finds endpoints that respond with errors much more often than other endpoints of their service. */
import type { EndpointId } from '@limpetwinch/core'

/** Thresholds and smoothing of {@link ErrorRates}. */
export interface ErrorRatesOptions {
  /** Weight of the latest response in the moving average of the error rate, 0 to 1. */
  readonly smoothing?: number
  /** Error rate below which an endpoint is never an outlier, 0 to 1. */
  readonly minimumErrorRate?: number
  /** Factor by which the error rate of an outlier exceeds the mean error rate of the other endpoints of the service. */
  readonly peerFactor?: number
}

/**
 * Finds endpoints whose error rate is much higher than that of their peers.
 *
 * Some services respond to part of their requests with errors in normal operation, so consecutive failures do not identify a
 * failing endpoint. A comparison of its error rate with those of the other endpoints of the service does.
 */
export class ErrorRates {
  private readonly rates = new Map<EndpointId, number>()
  private readonly smoothing: number
  private readonly minimumErrorRate: number
  private readonly peerFactor: number

  constructor (options: ErrorRatesOptions = {}) {
    this.smoothing = options.smoothing ?? 0.15
    this.minimumErrorRate = options.minimumErrorRate ?? 0.3
    this.peerFactor = options.peerFactor ?? 2
  }

  /** Records a response of the endpoint. */
  observe (endpoint: EndpointId, isError: boolean): void {
    const before = this.rates.get(endpoint) ?? 0
    this.rates.set(endpoint, before + this.smoothing * ((isError ? 1 : 0) - before))
  }

  /**
   * Lowers all error rates. An endpoint that gets no requests has no new responses, so without decay its rate would stay high
   * and it would never be used again.
   *
   * @param factor - factor applied to each rate, 0 to 1
   */
  decay (factor: number): void {
    for (const [endpoint, rate] of this.rates) this.rates.set(endpoint, rate * factor)
  }

  /** @returns whether the error rate of the endpoint is much higher than that of its peers */
  isOutlier (endpoint: EndpointId, peers: readonly EndpointId[]): boolean {
    const rate = this.rates.get(endpoint) ?? 0
    if (rate < this.minimumErrorRate) return false
    const others = peers.filter((peer) => peer !== endpoint)
    if (others.length === 0) return false
    const mean = others.reduce((sum, peer) => sum + (this.rates.get(peer) ?? 0), 0) / others.length
    return rate > this.peerFactor * mean
  }

  /** Drops the error rate of an endpoint that was removed. */
  forget (endpoint: EndpointId): void {
    this.rates.delete(endpoint)
  }
}
