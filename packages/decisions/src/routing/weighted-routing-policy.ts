/** Routing policy that sends each request to the endpoint with the lowest expected cost. */
import type { EndpointId } from '@limpetwinch/core'
import { OutlierEjection } from './outlier-ejection.js'
import type { OutlierEjectionOptions } from './outlier-ejection.js'
import { rendezvousWeight } from './rendezvous.js'
import { RoutingPolicy } from './routing-policy.js'
import type { EndpointView, RoutingRequest } from './routing-policy.js'

/** Parameters of the estimate of what it costs to send a request to an endpoint. */
export interface WeightedRoutingOptions {
  /** Trade-off between avoiding load stalls (0) and filling batches (1). */
  readonly batchEfficiencyWeight?: number
  /** Adapter loads per second of the whole deployment. */
  readonly loadsPerSecond?: number
  /** Duration of one decoding step, in which each running request gets one output token, milliseconds. */
  readonly stepMilliseconds?: number
  /** Output tokens of a typical request. */
  readonly usualOutputTokens?: number
  /** Prefill rate, tokens per millisecond. */
  readonly promptTokensPerMillisecond?: number
  /** Engines with one of these roles accept requests; by default the roles in `DEFAULT_ROLES`. An engine reports its role, which may be empty. */
  readonly roles?: readonly string[]
  readonly ejection?: OutlierEjectionOptions
}

/** Aggregates over all candidates, computed once per request. */
interface CandidateTotals {
  /** Adapter loads that are waiting or running for all candidates together. */
  readonly pendingLoads: number
  /** Candidates on which the adapter is loaded or being loaded. */
  readonly copies: number
  /** Number of requests in the shortest queue among the engines with a copy; Infinity without copies. */
  readonly shortestQueueAtCopies: number
}

const DEFAULT_ROLES: readonly string[] = ['', 'generate', 'mixed', 'decode', 'serve']
/** Cost of an endpoint that just failed or returned from ejection; the cost falls to 0 during its recovery. */
const FAILURE_PENALTY_MILLISECONDS = 2_000
/**
 * Cost of an empty batch at a batch efficiency weight of 1, divided evenly between the places of the batch. One empty place costs
 * less than one request that waits.
 */
const EMPTY_BATCH_MILLISECONDS = 250
/** Cost of the longer decoding steps of a full batch at a batch efficiency weight of 0. */
const FULL_BATCH_MILLISECONDS = 20
/** Upper bound of the cost of an endpoint that is not the home of the adapter, that is, the one that rendezvous hashing prefers. */
const HOME_PREFERENCE_MILLISECONDS = 20
/**
 * A team that got at most this part of its fair share of the service may have another copy of an adapter loaded, on an engine
 * that serves the team sooner.
 */
const SERVED_SHARE_THRESHOLD = 0.6
/** Number of requests in the shortest queue among the existing copies at which the cost of loading another copy is halved. */
const COPY_COST_HALVING_QUEUE = 4

/**
 * Chooses the endpoint with the lowest cost. Every criterion is expressed as milliseconds of expected wait, and the sum is the
 * cost. The time to choose depends on the number of endpoints passed in, not on the number of adapters.
 */
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

  choose (request: RoutingRequest, endpoints: readonly EndpointView[], now: number): EndpointId | undefined {
    const suitable = endpoints.filter((view) => this.canServe(request, view))
    const untried = suitable.filter((view) => !request.avoid.has(view.endpoint))
    // If all endpoints failed this request, one of them is tried again: the fault may have been transient.
    const candidates = this.ejection.usable(untried.length > 0 ? untried : suitable, now)
    const totals = candidateTotals(request, candidates)
    let best: EndpointView | undefined
    let bestCost = Infinity
    for (const view of candidates) {
      const cost = this.cost(request, view, totals, now)
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

  /** @returns whether the endpoint is able to run the request */
  private canServe (request: RoutingRequest, view: EndpointView): boolean {
    return !view.leaving && view.baseModel === request.baseModel && this.roles.has(view.role)
  }

  /** @returns the expected wait on the endpoint plus the delay for other requests, milliseconds */
  private cost (request: RoutingRequest, view: EndpointView, totals: CandidateTotals, now: number): number {
    const queue = this.queueWait(request, view, totals)
    const load = this.loadWait(request, view, totals)
    const prompt = request.promptTokens * (1 - view.cachedShare(request.prompt)) / this.promptTokensPerMillisecond
    const failures = this.ejection.penalty(view.endpoint, now) * FAILURE_PENALTY_MILLISECONDS
    // The adapter loads while the request is queued, so the longer of the two waits counts.
    return Math.max(queue, load.wait) + load.delayToOthers + this.batchCost(view) + prompt + 2 * view.oneWayMilliseconds + failures +
      this.homeCost(request, view)
  }

  /** @returns the wait for a place in the batch, milliseconds; requests sent since the latest report count as queued */
  private queueWait (request: RoutingRequest, view: EndpointView, totals: CandidateTotals): number {
    // Fewer queued requests are served before a request of a team that has no queue on the engine yet (`queuedBefore`). If the request
    // needs a new copy of its adapter, this shorter wait counts only while the team gets at most `SERVED_SHARE_THRESHOLD` of its fair
    // share. Above it, the whole queue counts: the fair share is taken over all engines, and in an overload copies would only use up the
    // load capacity.
    const isNewCopy = totals.copies > 0 && request.adapter !== undefined && view.holds(request.adapter) === 'absent'
    const hasShare = (request.shareUsed ?? 1) > SERVED_SHARE_THRESHOLD
    const before = isNewCopy && hasShare ? view.queued : queuedBefore(request, view)
    const ahead = view.running + before + view.sentSinceReport
    const excess = ahead + 1 - view.batchCapacity
    if (excess <= 0) return 0
    return excess / view.batchCapacity * this.serviceMilliseconds
  }

  /** @returns the wait for the adapter, and the delay that a new load causes for the loads behind it, milliseconds */
  private loadWait (request: RoutingRequest, view: EndpointView, totals: CandidateTotals): { wait: number, delayToOthers: number } {
    if (request.adapter === undefined) return { wait: 0, delayToOthers: 0 }
    const held = view.holds(request.adapter)
    if (held === 'loaded') return { wait: 0, delayToOthers: 0 }
    if (held === 'loading') return { wait: totals.pendingLoads * this.loadMilliseconds / 2, delayToOthers: 0 }
    const oneLoad = (totals.pendingLoads + 1) * this.loadMilliseconds
    const stalledRequests = view.evictionCost?.() ?? estimatedEvictionCost(request.adapter, view)
    const slotWait = view.pinnedSlots >= view.slots || stalledRequests === Infinity ? this.serviceMilliseconds : 0
    // Loads run one at a time, so another copy delays every load behind it and is justified only by a queue. The requests of
    // that queue share the cost if the new copy gets a free place in a batch. Between full engines a copy gains nothing.
    const sharing = this.queueWait(request, view, totals) > 0 ? 0 : totals.shortestQueueAtCopies / COPY_COST_HALVING_QUEUE
    const copy = totals.copies > 0 ? oneLoad / (1 + sharing) : 0
    const eviction = stalledRequests === Infinity ? oneLoad : stalledRequests * oneLoad
    return { wait: oneLoad + slotWait, delayToOthers: copy + eviction }
  }

  /** @returns the cost of the batch size: a fuller batch yields more tokens per step, but its steps take longer */
  private batchCost (view: EndpointView): number {
    const ahead = view.running + view.queued + view.sentSinceReport
    const filled = Math.min(1, ahead / view.batchCapacity)
    const emptiness = this.batchEfficiencyWeight * EMPTY_BATCH_MILLISECONDS * (1 - filled)
    const fullness = (1 - this.batchEfficiencyWeight) * FULL_BATCH_MILLISECONDS * filled
    return emptiness + fullness
  }

  /** @returns a cost that is lowest for the adapter's home endpoint, so that instances that route at the same time share one load */
  private homeCost (request: RoutingRequest, view: EndpointView): number {
    const key = request.adapter ?? request.team
    return (1 - rendezvousWeight(key, view.endpoint)) * HOME_PREFERENCE_MILLISECONDS
  }
}

function candidateTotals (request: RoutingRequest, candidates: readonly EndpointView[]): CandidateTotals {
  let pendingLoads = 0
  let copies = 0
  let shortestQueueAtCopies = Infinity
  for (const view of candidates) {
    pendingLoads += view.pendingLoads
    if (request.adapter === undefined || view.holds(request.adapter) === 'absent') continue
    copies += 1
    shortestQueueAtCopies = Math.min(shortestQueueAtCopies, queuedBefore(request, view) + view.sentSinceReport)
  }
  return { pendingLoads, copies, shortestQueueAtCopies }
}

function queuedBefore (request: RoutingRequest, view: EndpointView): number {
  return view.queuedBefore?.(request.team) ?? view.queued
}

/**
 * Estimates the eviction cost of an engine whose owner reports none, in stalled requests. Each adapter prefers its home endpoint,
 * which spreads loads over all slots.
 */
function estimatedEvictionCost (adapter: string, view: EndpointView): number {
  return view.pinnedSlots / view.slots + 1 - rendezvousWeight(adapter, view.endpoint)
}
