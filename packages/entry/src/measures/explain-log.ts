/** What was decided for the latest requests of this instance, and why. */
import { LRUCache } from 'lru-cache'
import type { RequestId } from '@limpetwinch/core'

const REMEMBERED_REQUESTS = 5_000
const MOST_STEPS = 40

/** One step of a request. */
export interface StoryStep {
  /** Wall time, milliseconds. */
  readonly at: number
  readonly what: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** All that was decided for one request. */
export class RequestStory {
  readonly requestId: RequestId
  readonly adapter: string
  readonly steps: StoryStep[] = []

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
    if (this.steps.length < MOST_STEPS) this.steps.push({ at: Date.now(), what, fields })
  }
}

/** The stories of the latest requests. */
export class ExplainLog {
  private readonly stories = new LRUCache<RequestId, RequestStory>({ max: REMEMBERED_REQUESTS })

  /** @returns the story of a request, a new one unless it has begun */
  begin (requestId: RequestId, adapter: string): RequestStory {
    const present = this.stories.get(requestId)
    if (present !== undefined) return present
    const story = new RequestStory(requestId, adapter)
    this.stories.set(requestId, story)
    return story
  }

  /** @returns the story of a request, if it is remembered */
  get (requestId: string): RequestStory | undefined {
    return this.stories.get(requestId as RequestId)
  }
}
