/** Finds endpoints that answer with errors much more often than their peers. */
import type { EndpointId } from '@limpetwinch/core'

/** How errors are counted. */
export interface ErrorRatesOptions {
  /** Weight of the newest answer, 0 to 1. */
  readonly smoothing?: number
  /** An endpoint is conspicuous when its share of errors is above this and above its peers' by a factor. */
  readonly minimumErrorRate?: number
  readonly peerFactor?: number
}

/**
 * Some services answer a part of their requests with errors of their own, so failures in a row say nothing; what tells a
 * failing endpoint is that it does so more often than the others of its service.
 */
export class ErrorRates {
  private readonly rates = new Map<EndpointId, number>()
  private readonly smoothing: number
  private readonly minimumErrorRate: number
  private readonly factor: number

  constructor (options: ErrorRatesOptions = {}) {
    this.smoothing = options.smoothing ?? 0.15
    this.minimumErrorRate = options.minimumErrorRate ?? 0.3
    this.factor = options.peerFactor ?? 2
  }

  /** Counts an answer. */
  observe (endpoint: EndpointId, isError: boolean): void {
    const before = this.rates.get(endpoint) ?? 0
    this.rates.set(endpoint, before + this.smoothing * ((isError ? 1 : 0) - before))
  }

  /**
   * An endpoint that gets no more work makes no more errors either; its rate falls with time so that it is tried again.
   *
   * @param factor - what is left of each rate, 0 to 1
   */
  decay (factor: number): void {
    for (const [endpoint, rate] of this.rates) this.rates.set(endpoint, rate * factor)
  }

  /** @returns whether the endpoint makes many more errors than the others */
  isOutlier (endpoint: EndpointId, peers: readonly EndpointId[]): boolean {
    const rate = this.rates.get(endpoint) ?? 0
    if (rate < this.minimumErrorRate) return false
    const others = peers.filter((peer) => peer !== endpoint)
    if (others.length === 0) return false
    const mean = others.reduce((sum, peer) => sum + (this.rates.get(peer) ?? 0), 0) / others.length
    return rate > this.factor * mean
  }

  /** Forgets an endpoint that is gone. */
  forget (endpoint: EndpointId): void {
    this.rates.delete(endpoint)
  }
}
