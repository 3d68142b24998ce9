/** Logs when an engine begins and ceases to count as slower than the others of its service. */
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'

/** Factor from which an engine counts as slow, and below which it no longer does. */
const SLOW_FROM = 1.3
const SLOW_UNTIL = 1.15

/** The engines that count as slow, with the time since when. */
export class SlowEngineLog {
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly since = new Map<EndpointId, number>()

  constructor (clock: Clock, logger: Logger) {
    this.clock = clock
    this.logger = logger
  }

  /** Records the engines whose load owner is this instance: how many times slower each one is than the fastest of its service, and on how many streams. */
  record (engines: readonly (readonly [endpoint: EndpointId, slowness: number, samples: number])[]): void {
    const now = this.clock.now()
    const owned = new Set(engines.map(([endpoint]) => endpoint))
    for (const endpoint of this.since.keys()) if (!owned.has(endpoint)) this.since.delete(endpoint)
    for (const [endpoint, slowness, samples] of engines) {
      const since = this.since.get(endpoint)
      const rounded = Math.round(slowness * 100) / 100
      if (since === undefined && slowness >= SLOW_FROM) {
        this.since.set(endpoint, now)
        this.logger.info('An engine counts as slower than the others of its service.', { endpoint, slowness: rounded, samples })
      } else if (since !== undefined && slowness < SLOW_UNTIL) {
        this.since.delete(endpoint)
        this.logger.info('An engine no longer counts as slower than the others of its service.', { endpoint, slowness: rounded, samples, milliseconds: Math.round(now - since) })
      }
    }
  }

  /** @returns monotonic time since when the engine counts as slow; undefined when it does not */
  slowSince (endpoint: EndpointId): number | undefined {
    return this.since.get(endpoint)
  }

  /** Forgets an engine that was removed or restarted. */
  forget (endpoint: EndpointId): void {
    this.since.delete(endpoint)
  }
}
