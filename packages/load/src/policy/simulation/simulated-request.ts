/** A request of the simulation with its state and its measured times. */
import type { QueuedRequest } from '@limpetwinch/decisions'
import { adapterKeyOf } from '../traces/trace.js'
import type { TraceRequest } from '../traces/trace.js'

/** State of a request. */
export type RequestState = 'waiting' | 'running' | 'completed' | 'refused' | 'lost'

interface PriorityClassTerms {
  readonly priority: number
  /** Time from arrival to the deadline, milliseconds. */
  readonly deadlineMilliseconds: number
}

const PRIORITY_CLASSES: Readonly<Record<string, PriorityClassTerms>> = {
  urgent: { priority: 7, deadlineMilliseconds: 30_000 },
  interactive: { priority: 5, deadlineMilliseconds: 60_000 },
  batch: { priority: 4, deadlineMilliseconds: 120_000 }
}
const DEFAULT_PRIORITY_CLASS: PriorityClassTerms = { priority: 5, deadlineMilliseconds: 60_000 }

/** Weight of an output token; it costs about twice a prompt token, since an engine reads many prompt tokens in one step. */
export const OUTPUT_TOKEN_WEIGHT = 2

/** Lowest `maximumTokens` of a caller. A caller states an upper limit, not the actual length; the simulation uses a power of two. */
const MINIMUM_DECLARED_TOKENS = 64

/** State and measurements of one request. */
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
  /** Index of the engine, or -1 before the request was routed. */
  engine = -1
  /** Total of the ended waits for the adapter, milliseconds; a wait in progress is not included. */
  endedStallMilliseconds = 0
  /** Time at which the current wait for the adapter began, or -1 when the request does not wait for its adapter. */
  stalledSince = -1
  firstTokenAt = -1
  endedAt = -1
  promptTokensLeft: number
  outputTokensLeft: number
  /** Weighted tokens served to this request since its last settlement with the queue. */
  chargedTokens = 0

  /**
   * @param trace - the request as the trace states it
   * @param index - position of the request in the trace
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

  /** @returns the total wait for the adapter including a wait in progress, milliseconds */
  totalStallAt (now: number): number {
    return this.endedStallMilliseconds + (this.stalledSince < 0 ? 0 : now - this.stalledSince)
  }

  /** Starts a wait for the adapter, which is not loaded on the engine. */
  beginStall (now: number): void {
    if (this.stalledSince < 0) this.stalledSince = now
  }

  /** Ends the wait for the adapter, because the adapter was loaded or the request left the queue. */
  endStall (now: number): void {
    this.endedStallMilliseconds = this.totalStallAt(now)
    this.stalledSince = -1
  }
}
