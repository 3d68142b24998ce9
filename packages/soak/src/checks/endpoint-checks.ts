/** Checks of the requests that endpoints run and of the load orders that engines receive. */
import type { SampleRoute, StandInRun } from '@limpetwinch/platform'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Routes whose requests must not be retried once they may have run. */
const AT_MOST_ONCE_ROUTES: ReadonlySet<SampleRoute> = new Set(['once', 'enter'])
/** Time after which a leaving endpoint gets no new requests, from the store's announcement that the endpoint leaves. */
const LEAVING_PROPAGATION_MILLISECONDS = 2_000
/** Margin around a fault of an instance or of the store within which the fault can still have an effect. */
const FAULT_MARGIN_MILLISECONDS = 3_000
/** Lease duration: minimum time between orders of two different load owners to one engine. */
const LEASE_MILLISECONDS = 3_000
/** Window in which a rate limit must hold, and the time after which it must once an endpoint has named it. */
const RATE_WINDOW_MILLISECONDS = 4_000
const RATE_STABILITY_MILLISECONDS = 3_000
/** Time in which a limit that was just named reaches all instances. */
const RATE_ONSET_MILLISECONDS = 1_000
/** Allowed excess over a rate limit: a factor and a number of requests. */
const RATE_TOLERANCE = { factor: 1.5, requests: 5 }

function runsByRequest ({ deployment }: SoakEvidence): Map<string, StandInRun[]> {
  const runs = new Map<string, StandInRun[]>()
  for (const server of [...deployment.engines, ...deployment.webServers]) {
    for (const run of server.runs) runs.set(run.request, [...runs.get(run.request) ?? [], run])
  }
  return runs
}

function violationOfRun ({ request, at }: StandInRun, message: string): Violation {
  return { message, from: at, to: at, request }
}

/** Checks that requests that must not be retried run at most once. */
export class AtMostOnceCheck extends SoakCheck {
  override readonly promise = 'at-most-once'

  override violations (evidence: SoakEvidence): Violation[] {
    const runs = runsByRequest(evidence)
    return evidence.record.requests
      .filter(({ request }) => AT_MOST_ONCE_ROUTES.has(request.route) && (runs.get(request.id)?.length ?? 0) > 1)
      .map((observed) => this.violationOf(observed, `${observed.request.id} ran ${runs.get(observed.request.id)?.length} times`))
  }
}

/** Checks that a response is true if it says that the request has not run; covers only requests that must not be retried. */
export class NotRunClaimCheck extends SoakCheck {
  override readonly promise = 'not-run'

  override violations (evidence: SoakEvidence): Violation[] {
    const runs = runsByRequest(evidence)
    return evidence.record.requests
      .filter(({ request, answer }) => answer.saysNotRun && AT_MOST_ONCE_ROUTES.has(request.route) && runs.has(request.id))
      .map((observed) => this.violationOf(observed, `${observed.request.id} was answered ${observed.answer.status} and ran`))
  }
}

/** Checks that each run belongs to a request that was sent and uses the adapter that the request asks for. */
export class RightAdapterCheck extends SoakCheck {
  override readonly promise = 'right-adapter'

  override violations (evidence: SoakEvidence): Violation[] {
    const sent = new Map([...evidence.record.requests, ...evidence.record.probes].map(({ request }) => [request.id, request]))
    return [...runsByRequest(evidence)].flatMap(([id, runs]) => runs
      .filter((run) => run.adapter !== sent.get(id)?.adapter || !sent.has(id))
      .map((run) => violationOfRun(run, `${id} asked for ${sent.get(id)?.adapter ?? 'nothing'} and ran by ${run.adapter ?? 'nothing'}`)))
  }
}

/** Checks that a leaving endpoint gets no new requests, unless a fault of the store or of an instance was close in time. */
export class LeavingEndpointCheck extends SoakCheck {
  override readonly promise = 'leaving-endpoint'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    return record.leavings.flatMap(({ endpoint, at }) => {
      const runs = deployment.engines.find(({ options }) => options.id === endpoint)?.runs ?? []
      return runs
        .filter((run) => run.at > at + LEAVING_PROPAGATION_MILLISECONDS && record.disruptionsDuring(at, run.at, FAULT_MARGIN_MILLISECONDS).every(({ target }) => target === endpoint))
        .map((run) => violationOfRun(run, `${endpoint} was given ${run.request} ${run.at - at} ms after it was leaving`))
    })
  }
}

/** Checks that an engine is never ordered to hold more adapters than it has slots. */
export class SlotCapacityCheck extends SoakCheck {
  override readonly promise = 'slots'

  override violations ({ deployment, adapterSlots }: SoakEvidence): Violation[] {
    return deployment.engines
      .filter(({ mostOccupied }) => mostOccupied > adapterSlots)
      .map(({ options, mostOccupied, orders }) => ({
        message: `${options.id} was ordered ${mostOccupied} adapters and has ${adapterSlots} slots`, from: orders[0]?.at ?? 0, to: orders.at(-1)?.at ?? 0
      }))
  }
}

/** Checks that two instances never order loads of one engine within one lease. Orders with a stale fencing token do not count: the engine refused them. */
export class SingleLoadOwnerCheck extends SoakCheck {
  override readonly promise = 'one-holder'
  private readonly staleTokenStatus = 412

  override violations ({ deployment }: SoakEvidence): Violation[] {
    return deployment.engines.flatMap(({ options, orders }) => {
      const accepted = orders.filter(({ status }) => status !== this.staleTokenStatus)
      return accepted.flatMap((order, index) => {
        const previous = accepted[index - 1]
        if (previous === undefined || previous.holder === order.holder || order.at - previous.at >= LEASE_MILLISECONDS) return []
        return [{ message: `${options.id} was ordered by ${previous.holder} and ${order.at - previous.at} ms later by ${order.holder}`, from: previous.at, to: order.at }]
      })
    })
  }
}

/** Checks that an endpoint that names a rate limit gets no more than that from all instances together. */
export class RateLimitCheck extends SoakCheck {
  override readonly promise = 'rate-limit'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    return record.rateLimits.flatMap(({ endpoint, requestsPerSecond, span }) => {
      const server = [...deployment.engines, ...deployment.webServers].find(({ options }) => options.id === endpoint)
      const times = (server?.runs ?? []).map(({ at }) => at).filter((at) => at > span.from + RATE_ONSET_MILLISECONDS && at <= span.to)
      const allowed = RATE_TOLERANCE.factor * requestsPerSecond * RATE_WINDOW_MILLISECONDS / 1_000 + RATE_TOLERANCE.requests
      return times
        .filter((end) => end >= span.from + RATE_STABILITY_MILLISECONDS)
        .map((end) => ({ end, count: times.filter((at) => at > end - RATE_WINDOW_MILLISECONDS && at <= end).length }))
        .filter(({ count }) => count > allowed)
        .slice(0, 1)
        .map(({ end, count }) => ({
          message: `${endpoint} named ${requestsPerSecond} requests a second and got ${count} in one window, ${allowed} are allowed`, from: end - RATE_WINDOW_MILLISECONDS, to: end
        }))
    })
  }
}
