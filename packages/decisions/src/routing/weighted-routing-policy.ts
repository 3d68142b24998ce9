/** Routing by expected wait: each thing that matters is turned into milliseconds and the smallest sum wins. */
import type { EndpointId } from '@limpetwinch/core'
import { OutlierEjection } from './outlier-ejection.js'
import type { OutlierEjectionOptions } from './outlier-ejection.js'
import { rendezvousWeight } from './rendezvous.js'
import { RoutingPolicy } from './routing-policy.js'
import type { EndpointView, RoutingRequest } from './routing-policy.js'

/** What the costs are made of. */
export interface WeightedRoutingOptions {
  /** 0 puts load stalls first, 1 puts batch efficiency first. */
  readonly batchEfficiencyWeight?: number
  /** Loads a second of the whole deployment. */
  readonly loadsPerSecond?: number
  /** Milliseconds of one decoding step. */
  readonly stepMilliseconds?: number
  /** Output tokens of a usual request. */
  readonly usualOutputTokens?: number
  /** Prompt tokens read in a millisecond. */
  readonly promptTokensPerMillisecond?: number
  /** Roles that take requests. */
  readonly roles?: readonly string[]
  readonly ejection?: OutlierEjectionOptions
}

/** Sums over all candidates, made once for each question. */
interface CandidateTotals {
  readonly pendingLoads: number
  readonly copies: number
  /** The shortest queue of an endpoint that holds the adapter. */
  readonly shortestQueueAtCopies: number
}

const DEFAULT_ROLES: readonly string[] = ['', 'generate', 'mixed', 'decode', 'serve']
const FAILURE_PENALTY_MILLISECONDS = 2_000
/** What an empty place in a batch is worth at a weight of 1; a request that waits for a place costs more than that. */
const EMPTY_BATCH_MILLISECONDS = 250
/** What a full batch's longer steps cost at a weight of 0. */
const FULL_BATCH_MILLISECONDS = 20
const HOME_PREFERENCE_MILLISECONDS = 20
/** A team with less than this of its share has a claim that other teams' queues do not stand in the way of. */
const SERVED_SHARE_THRESHOLD = 0.6
/** Requests of a queue that together bear half of a copy's price. */
const COPY_COST_HALVING_QUEUE = 4

/** Chooses the endpoint with the smallest expected wait. Asks only the endpoints handed in; adapters are never scanned. */
export class WeightedRoutingPolicy extends RoutingPolicy {
  private readonly batchEfficiencyWeight: number
  private readonly loadMilliseconds: number
  private readonly serviceMilliseconds: number
  private readonly promptTokensPerMillisecond: number
  private readonly roles: ReadonlySet<string>
  private readonly ejection: OutlierEjection

  constructor (options: WeightedRoutingOptions = {}) {
    super()
    this.batchEfficiencyWeight = options.batchEfficiencyWeight ?? 0.5
    this.loadMilliseconds = 1_000 / (options.loadsPerSecond ?? 4)
    this.serviceMilliseconds = (options.stepMilliseconds ?? 30) * (options.usualOutputTokens ?? 64)
    this.promptTokensPerMillisecond = options.promptTokensPerMillisecond ?? 10
    this.roles = new Set(options.roles ?? DEFAULT_ROLES)
    this.ejection = new OutlierEjection(options.ejection)
  }

  choose (question: RoutingRequest, endpoints: readonly EndpointView[], now: number): EndpointId | undefined {
    const suitable = endpoints.filter((view) => this.canServe(question, view))
    const fresh = suitable.filter((view) => !question.avoid.has(view.endpoint))
    // An endpoint that failed this request is better than none: its fault may have passed.
    const candidates = this.ejection.usable(fresh.length > 0 ? fresh : suitable, now)
    const surroundings = candidateTotals(question, candidates)
    let best: EndpointView | undefined
    let bestCost = Infinity
    for (const view of candidates) {
      const cost = this.cost(question, view, surroundings, now)
      if (cost < bestCost) {
        best = view
        bestCost = cost
      }
    }
    return best?.endpoint
  }

  observe (endpoint: EndpointId, result: 'answered' | 'failed', now: number): void {
    this.ejection.observe(endpoint, result, now)
  }

  /** @returns whether an endpoint could run the request at all */
  private canServe (question: RoutingRequest, view: EndpointView): boolean {
    return !view.leaving && view.baseModel === question.baseModel && this.roles.has(view.role)
  }

  /** @returns the expected wait on an endpoint and what it costs others, milliseconds */
  private cost (question: RoutingRequest, view: EndpointView, surroundings: CandidateTotals, now: number): number {
    const queue = this.queueWait(question, view, surroundings)
    const load = this.loadWait(question, view, surroundings)
    const prompt = question.promptTokens * (1 - view.cachedShare(question.prompt)) / this.promptTokensPerMillisecond
    const failures = this.ejection.penalty(view.endpoint, now) * FAILURE_PENALTY_MILLISECONDS
    // The load and the queue pass side by side: a request waits for the longer one.
    return Math.max(queue, load.wait) + load.price + this.batchCost(view) + prompt + 2 * view.oneWayMilliseconds + failures +
      this.homeCost(question, view)
  }

  /** @returns the wait for a place in the batch; reports lag, so what was sent since the newest one counts as queued */
  private queueWait (question: RoutingRequest, view: EndpointView, surroundings: CandidateTotals): number {
    // A team's turn comes sooner where it has no queue yet. For a team that has its share that is no reason for a copy:
    // its share is one over all engines, and in an overload copies of everything would only use up the loads.
    const copy = surroundings.copies > 0 && question.adapter !== undefined && view.holds(question.adapter) === 'absent'
    const hasShare = (question.shareUsed ?? 1) > SERVED_SHARE_THRESHOLD
    const before = copy && hasShare ? view.queued : queuedBefore(question, view)
    const ahead = view.running + before + view.sentSinceReport
    const over = ahead + 1 - view.batchCapacity
    if (over <= 0) return 0
    return over / view.batchCapacity * this.serviceMilliseconds
  }

  /** @returns the wait for the adapter, and what a new load costs those whose loads wait behind it */
  private loadWait (question: RoutingRequest, view: EndpointView, surroundings: CandidateTotals): { wait: number, price: number } {
    if (question.adapter === undefined) return { wait: 0, price: 0 }
    const held = view.holds(question.adapter)
    if (held === 'loaded') return { wait: 0, price: 0 }
    if (held === 'loading') return { wait: surroundings.pendingLoads * this.loadMilliseconds / 2, price: 0 }
    const oneLoad = (surroundings.pendingLoads + 1) * this.loadMilliseconds
    const stalled = view.evictionCost?.() ?? estimatedEvictionCost(question.adapter, view)
    const slot = view.pinnedSlots >= view.slots || stalled === Infinity ? this.serviceMilliseconds : 0
    // Loads run one at a time: another copy holds up each load behind it, so only a queue asks for it. All who wait in
    // that queue share its price where the copy gets an idle place; between full engines it would gain nothing.
    const sharing = this.queueWait(question, view, surroundings) > 0 ? 0 : surroundings.shortestQueueAtCopies / COPY_COST_HALVING_QUEUE
    const copy = surroundings.copies > 0 ? oneLoad / (1 + sharing) : 0
    const eviction = stalled === Infinity ? oneLoad : stalled * oneLoad
    return { wait: oneLoad + slot, price: copy + eviction }
  }

  /** @returns the cost of a step that stays empty: a fuller batch gives more tokens for each step */
  private batchCost (view: EndpointView): number {
    const ahead = view.running + view.queued + view.sentSinceReport
    const filled = Math.min(1, ahead / view.batchCapacity)
    const packing = this.batchEfficiencyWeight * EMPTY_BATCH_MILLISECONDS * (1 - filled)
    const spreading = (1 - this.batchEfficiencyWeight) * FULL_BATCH_MILLISECONDS * filled
    return packing + spreading
  }

  /** @returns less for an adapter's home, so that instances which route at the same moment share one load */
  private homeCost (question: RoutingRequest, view: EndpointView): number {
    const key = question.adapter ?? question.team
    return (1 - rendezvousWeight(key, view.endpoint)) * HOME_PREFERENCE_MILLISECONDS
  }
}

function candidateTotals (question: RoutingRequest, candidates: readonly EndpointView[]): CandidateTotals {
  let loadsAhead = 0
  let copies = 0
  let queuedAtCopies = Infinity
  for (const view of candidates) {
    loadsAhead += view.pendingLoads
    if (question.adapter === undefined || view.holds(question.adapter) === 'absent') continue
    copies += 1
    queuedAtCopies = Math.min(queuedAtCopies, queuedBefore(question, view) + view.sentSinceReport)
  }
  return { pendingLoads: loadsAhead, copies, shortestQueueAtCopies: queuedAtCopies }
}

function queuedBefore (question: RoutingRequest, view: EndpointView): number {
  return view.queuedBefore?.(question.team) ?? view.queued
}

/** Without the owner's word each adapter keeps to its home, so that loads spread over the engines and their slots. */
function estimatedEvictionCost (adapter: string, view: EndpointView): number {
  return view.pinnedSlots / view.slots + 1 - rendezvousWeight(adapter, view.endpoint)
}
