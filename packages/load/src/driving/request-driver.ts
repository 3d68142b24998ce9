/** Sends single requests, and notes what the caller sees in measures and history. */
import type { HistoryEvent } from '../history/index.js'
import type { LoadRequest, LoadTarget } from '../targets/load-target.js'
import type { LoadMetrics } from './load-metrics.js'

/** Takes history events; undefined where no history is wanted. */
export type HistorySink = ((event: HistoryEvent) => void) | undefined

/** Drives requests at targets. */
export class RequestDriver {
  private readonly measures: LoadMetrics
  private readonly history: HistorySink

  /**
   * @param measures - where times and outcomes go
   * @param history - where events go
   */
  constructor (measures: LoadMetrics, history: HistorySink) {
    this.measures = measures
    this.history = history
  }

  /**
   * Sends one request and follows it to its end.
   *
   * @param target - where to
   * @param request - what
   * @param due - monotonic time at which it should have been sent; times count from there, so that a tool or a target
   *   that falls behind can't hide it
   */
  async drive (target: LoadTarget, request: LoadRequest, due: number): Promise<void> {
    this.measures.sent(performance.now() - due)
    this.recordSent(target, request)
    let tokens = 0
    let latest = due
    const end = await target.send(request, (text) => {
      const now = performance.now()
      this.measures.token(tokens === 0, now - latest)
      latest = now
      this.history?.({ event: 'request-part', at: Date.now(), request: request.id, position: tokens, text })
      tokens += 1
    })
    this.measures.ended(end, performance.now() - due)
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
