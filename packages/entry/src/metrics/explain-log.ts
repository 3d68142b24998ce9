/** What was decided for the latest requests of this instance, and why. */
import { LRUCache } from 'lru-cache'
import type { RequestId } from '@limpetwinch/core'

const MAXIMUM_TIMELINES = 5_000
const MAXIMUM_STEPS = 40

/** One step of a request. */
export interface TimelineStep {
  /** Wall time, milliseconds. */
  readonly at: number
  readonly what: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** All that was decided for one request. */
export class RequestTimeline {
  readonly requestId: RequestId
  readonly adapter: string
  readonly steps: TimelineStep[] = []

  /**
   * @param requestId - the request
   * @param adapter - `team/adapter@version`
   */
  constructor (requestId: RequestId, adapter: string) {
    this.requestId = requestId
    this.adapter = adapter
  }

  /** Adds a step; a request that is tried very often keeps its first steps. */
  add (what: string, fields: Readonly<Record<string, unknown>> = {}): void {
    if (this.steps.length < MAXIMUM_STEPS) this.steps.push({ at: Date.now(), what, fields })
  }
}

/** The stories of the latest requests. */
export class ExplainLog {
  private readonly timelines = new LRUCache<RequestId, RequestTimeline>({ max: MAXIMUM_TIMELINES })

  /** @returns the story of a request, a new one unless it has begun */
  begin (requestId: RequestId, adapter: string): RequestTimeline {
    const present = this.timelines.get(requestId)
    if (present !== undefined) return present
    const story = new RequestTimeline(requestId, adapter)
    this.timelines.set(requestId, story)
    return story
  }

  /** @returns the story of a request, if it is remembered */
  get (requestId: string): RequestTimeline | undefined {
    return this.timelines.get(requestId as RequestId)
  }
}
