/** Sends single requests and records what the caller sees in the metrics and the history. */
import type { HistoryEvent } from '../history/index.js'
import type { LoadRequest, LoadTarget } from '../targets/load-target.js'
import type { LoadMetrics } from './load-metrics.js'

/** Receives history events; undefined when no history is recorded. */
export type HistorySink = ((event: HistoryEvent) => void) | undefined

/** Sends requests to targets and records their progress. */
export class RequestDriver {
  private readonly metrics: LoadMetrics
  private readonly history: HistorySink

  /**
   * @param metrics - collects times and outcomes
   * @param history - receives the events
   */
  constructor (metrics: LoadMetrics, history: HistorySink) {
    this.metrics = metrics
    this.history = history
  }

  /**
   * Sends one request and records its progress until it ends.
   *
   * @param target - where the request is sent
   * @param request - the request to send
   * @param due - monotonic time at which the request should have been sent, milliseconds; times are measured from then on, so
   *   that a delay of the load tool or of the target is included
   */
  async drive (target: LoadTarget, request: LoadRequest, due: number): Promise<void> {
    this.metrics.sent(performance.now() - due)
    this.recordSent(target, request)
    let tokens = 0
    let latest = due
    const end = await target.send(request, (text) => {
      const now = performance.now()
      this.metrics.token(tokens === 0, now - latest)
      latest = now
      this.history?.({ event: 'request-part', at: Date.now(), request: request.id, position: tokens, text })
      tokens += 1
    })
    this.metrics.ended(end, performance.now() - due)
    this.history?.({ event: 'request-ended', at: Date.now(), request: request.id, ...end })
  }

  private recordSent (target: LoadTarget, request: LoadRequest): void {
    const { id, team, adapter, version, idempotent, prompt, maximumTokens, seed, key } = request
    this.history?.({
      event: 'request-sent',
      at: Date.now(),
      request: id,
      team,
      adapter,
      idempotent,
      instance: target.name,
      prompt,
      maximumTokens,
      seed,
      ...(version === undefined ? {} : { version }),
      ...(key === undefined ? {} : { key })
    })
  }
}
