/** Keeps timelines of the latest requests of this instance: the decisions made for each request and their reasons. */
import { LRUCache } from 'lru-cache'
import type { RequestId } from '@limpetwinch/core'

/** Maximum number of timelines that an instance keeps in memory. The least recently used one is dropped first. */
const MAXIMUM_TIMELINES = 5_000
/** Maximum number of steps in one timeline. Further steps are not recorded. */
const MAXIMUM_STEPS = 40

/** One step in the timeline of a request. */
export interface TimelineStep {
  /** Wall-clock time at which the step was recorded, in milliseconds. */
  readonly at: number
  readonly what: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** The decisions made for one request, in order. */
export class RequestTimeline {
  readonly requestId: RequestId
  readonly adapter: string
  readonly steps: TimelineStep[] = []

  /**
   * @param requestId - the id of the request
   * @param adapter - the adapter as `team/adapter@version`, or `service <name>` for a plain service
   */
  constructor (requestId: RequestId, adapter: string) {
    this.requestId = requestId
    this.adapter = adapter
  }

  /** Adds a step. A request with very many attempts keeps only its first steps. */
  add (what: string, fields: Readonly<Record<string, unknown>> = {}): void {
    if (this.steps.length < MAXIMUM_STEPS) this.steps.push({ at: Date.now(), what, fields })
  }
}

/** Timelines of the latest requests by request id. */
export class ExplainLog {
  private readonly timelines = new LRUCache<RequestId, RequestTimeline>({ max: MAXIMUM_TIMELINES })

  /** @returns the timeline of a request, created if there is none yet */
  begin (requestId: RequestId, adapter: string): RequestTimeline {
    const present = this.timelines.get(requestId)
    if (present !== undefined) return present
    const timeline = new RequestTimeline(requestId, adapter)
    this.timelines.set(requestId, timeline)
    return timeline
  }

  /** @returns the timeline of a request, or undefined when it is not kept any more */
  get (requestId: string): RequestTimeline | undefined {
    return this.timelines.get(requestId as RequestId)
  }
}
