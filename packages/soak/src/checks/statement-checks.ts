/** Checks of retries over all instances, and of what endpoints say of themselves in responses: that they ask an instance to back off, or are leaving. */
import type { RegisteredStandIn, StandInArrival } from '@limpetwinch/platform'
import type { ObservedRequest } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Bound on the retries of all instances to one service, as the settings of the deployment say. */
const RETRY_WINDOW_MILLISECONDS = 10_000
const RETRY_SHARE = 0.2
const RETRY_SLACK = 52
/** Routes to engines; all others lead to web servers. */
const ENGINE_ROUTES: ReadonlySet<string> = new Set(['draft', 'once'])
/** Time in which requests that were on their way may still reach an endpoint that asked to back off, and the number that may arrive later. */
const ON_THEIR_WAY_MILLISECONDS = 500
const ALLOWED_IN_BACKOFF = 2
/** Time after which an endpoint gets nothing from an instance that has received an answer that says that the endpoint is leaving. */
const LEAVING_MILLISECONDS = 2_000
/** Faults that excuse an instance that forgets, or does not act in time. */
const INSTANCE_FAULTS: ReadonlySet<string> = new Set(['kill-instance', 'kill-all-instances', 'stop-instance', 'pause-instance'])

/** A request that reached an endpoint, and where and when its caller sent it. */
interface TracedArrival extends StandInArrival {
  readonly sentTo: string
  readonly sentAt: number
}

/** @returns the arrivals at an endpoint of requests that a caller of the soak sent */
function traced ({ arrivals }: RegisteredStandIn, sent: ReadonlyMap<string, ObservedRequest>): TracedArrival[] {
  return arrivals.flatMap((arrival) => {
    const observed = sent.get(arrival.request)
    return observed === undefined ? [] : [{ ...arrival, sentTo: observed.instance, sentAt: observed.sentAt }]
  })
}

function sentRequests ({ record }: SoakEvidence): Map<string, ObservedRequest> {
  return new Map([...record.requests, ...record.probes].map((observed) => [observed.request.id, observed]))
}

function endpointsOf ({ deployment }: SoakEvidence): RegisteredStandIn[] {
  return [...deployment.engines, ...deployment.webServers]
}

/** @returns whether an instance was killed, stopped or paused in a period */
function isExcused ({ record }: SoakEvidence, instance: string, from: number, to: number): boolean {
  return record.faultsDuring(from, to, 0).some(({ kind, target }) => INSTANCE_FAULTS.has(kind) && (target === undefined || target === instance))
}

function countWithin (times: readonly number[], end: number): number {
  return times.filter((at) => at > end - RETRY_WINDOW_MILLISECONDS && at <= end).length
}

/** Checks that all instances together retry no more than is allowed in any window. Nothing excuses more. */
export class RetryBoundCheck extends SoakCheck {
  override readonly promise = 'retry-bound'

  override violations (evidence: SoakEvidence): Violation[] {
    const { deployment } = evidence
    const sent = [...sentRequests(evidence).values()]
    const times = (toEngines: boolean): number[] => sent.filter(({ request }) => ENGINE_ROUTES.has(request.route) === toEngines).map(({ sentAt }) => sentAt)
    return [...this.violationsOf('engines', deployment.engines, times(true)), ...this.violationsOf('web servers', deployment.webServers, times(false))]
  }

  private violationsOf (service: string, servers: readonly RegisteredStandIn[], sentAt: readonly number[]): Violation[] {
    const seen = new Set<string>()
    const arrivals = servers.flatMap((server) => server.arrivals).sort((one, other) => one.at - other.at)
    const retries = arrivals.filter(({ request }) => seen.has(request) || seen.add(request).size === 0).map(({ at }) => at)
    return retries
      .map((end) => {
        const requests = Math.max(...[0, 0.5, 1].map((windows) => countWithin(sentAt, end - windows * RETRY_WINDOW_MILLISECONDS)))
        return { end, count: countWithin(retries, end), allowed: RETRY_SHARE * requests + RETRY_SLACK }
      })
      .filter(({ count, allowed }) => count > allowed)
      .slice(0, 1)
      .map(({ end, count, allowed }) => ({ message: `${count} retries reached the ${service} in one window, ${allowed} are allowed`, from: end - RETRY_WINDOW_MILLISECONDS, to: end }))
  }
}

/** Checks that an endpoint gets hardly anything from an instance that it has asked to back off, unless that instance was ended or paused. */
export class BackoffCheck extends SoakCheck {
  override readonly promise = 'backoff'

  override violations (evidence: SoakEvidence): Violation[] {
    const sent = sentRequests(evidence)
    return endpointsOf(evidence).flatMap((endpoint) => {
      const arrivals = traced(endpoint, sent)
      return arrivals.flatMap(({ at, sentTo, askedBackoffSeconds = 0 }) => {
        const until = at + askedBackoffSeconds * 1_000
        const within = arrivals.filter((other) => other.sentTo === sentTo && other.at > at + ON_THEIR_WAY_MILLISECONDS && other.at <= until)
        if (within.length <= ALLOWED_IN_BACKOFF || isExcused(evidence, sentTo, at, until)) return []
        return [{ message: `${endpoint.options.id} asked ${sentTo} to back off for ${askedBackoffSeconds} s and got ${within.length} requests`, from: at, to: until, instance: sentTo }]
      })
    })
  }
}

/** Checks that an endpoint gets nothing from an instance some time after an answer said that it is leaving, unless that instance was ended or paused. */
export class SaidLeavingCheck extends SoakCheck {
  override readonly promise = 'said-leaving'

  override violations (evidence: SoakEvidence): Violation[] {
    const sent = sentRequests(evidence)
    return endpointsOf(evidence).flatMap((endpoint) => {
      const arrivals = traced(endpoint, sent)
      return arrivals.filter(({ saidLeaving }) => saidLeaving).flatMap(({ at, request, sentTo, sentAt }) => {
        const first = arrivals.find((other) => other.saidLeaving && other.sentTo === sentTo)
        const answeredAt = first === undefined ? at : sent.get(first.request)?.endedAt ?? at
        if (sentAt <= answeredAt + LEAVING_MILLISECONDS || isExcused(evidence, sentTo, answeredAt, at)) return []
        return [{ message: `${endpoint.options.id} said that it is leaving and was given ${request} ${sentAt - answeredAt} ms later`, from: answeredAt, to: at, instance: sentTo, request }]
      })
    })
  }
}
