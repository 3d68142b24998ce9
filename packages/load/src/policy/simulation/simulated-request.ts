/** A request on its way through the simulation. */
import type { QueuedRequest } from '@limpetwinch/decisions'
import { adapterKeyOf } from '../traces/trace.js'
import type { TraceRequest } from '../traces/trace.js'

/** Where a request stands. */
export type RequestState = 'waiting' | 'running' | 'completed' | 'refused' | 'lost'

interface PriorityClassTerms {
  readonly priority: number
  /** From arrival, milliseconds. */
  readonly deadlineMilliseconds: number
}

const PRIORITY_CLASSES: Readonly<Record<string, PriorityClassTerms>> = {
  urgent: { priority: 7, deadlineMilliseconds: 30_000 },
  interactive: { priority: 5, deadlineMilliseconds: 60_000 },
  batch: { priority: 4, deadlineMilliseconds: 120_000 }
}
const DEFAULT_PRIORITY_CLASS: PriorityClassTerms = { priority: 5, deadlineMilliseconds: 60_000 }

/** An output token costs about twice a prompt token, since a prompt is read many tokens at a time. */
export const OUTPUT_TOKEN_WEIGHT = 2

/** Callers say the most they want, not what will come; what they say is a power of two. */
const MINIMUM_DECLARED_TOKENS = 64

/** What the simulation knows of one request. */
export class SimulatedRequest implements QueuedRequest {
  readonly requestId: string
  readonly team: string
  readonly priority: number
  readonly adapter: string
  readonly cost: number
  readonly enqueuedAt: number
  readonly deadlineAt: number
  readonly maximumTokens: number
  readonly trace: TraceRequest
  state: RequestState = 'waiting'
  /** Index of the engine, or -1 before it was routed. */
  engine = -1
  /** Time waited for the adapter so far, without the wait under way. */
  endedStallMilliseconds = 0
  /** Since when it waits for its adapter, or -1 when it does not. */
  stalledSince = -1
  firstTokenAt = -1
  endedAt = -1
  promptTokensLeft: number
  outputTokensLeft: number
  /** Tokens charged to its team so far, weighed. */
  chargedTokens = 0

  /**
   * @param trace - the line of the trace
   * @param index - its place in the trace
   */
  constructor (trace: TraceRequest, index: number) {
    const terms = PRIORITY_CLASSES[trace.priorityClass] ?? DEFAULT_PRIORITY_CLASS
    this.trace = trace
    this.requestId = `r${index}`
    this.team = trace.team
    this.priority = terms.priority
    this.adapter = adapterKeyOf(trace)
    this.maximumTokens = Math.max(MINIMUM_DECLARED_TOKENS, 2 ** Math.ceil(Math.log2(trace.outputTokens)))
    this.cost = trace.promptTokens + OUTPUT_TOKEN_WEIGHT * this.maximumTokens / 2
    this.enqueuedAt = trace.atMilliseconds
    this.deadlineAt = trace.atMilliseconds + terms.deadlineMilliseconds
    this.promptTokensLeft = trace.promptTokens
    this.outputTokensLeft = trace.outputTokens
  }

  /** @returns the whole wait for the adapter, with the wait under way */
  totalStallAt (now: number): number {
    return this.endedStallMilliseconds + (this.stalledSince < 0 ? 0 : now - this.stalledSince)
  }

  /** Its adapter is not on the engine. */
  beginStall (now: number): void {
    if (this.stalledSince < 0) this.stalledSince = now
  }

  /** Its adapter is loaded now, or it is given up. */
  endStall (now: number): void {
    this.endedStallMilliseconds = this.totalStallAt(now)
    this.stalledSince = -1
  }
}
