/** Promises about what endpoints run and are ordered. */
import type { SampleRoute, StandInRun } from '@limpetwinch/platform'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

const AT_MOST_ONCE_ROUTES: ReadonlySet<SampleRoute> = new Set(['once', 'enter'])
/** New work on a leaving endpoint ends within so long of the store's word. */
const LEAVING_PROPAGATION_MILLISECONDS = 2_000
/** What instances and the store were through shortly before still tells. */
const FAULT_MARGIN_MILLISECONDS = 3_000
/** Two instances that order one engine are so far apart. */
const LEASE_MILLISECONDS = 3_000

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

/** What may not be repeated runs once at most. */
export class AtMostOnceCheck extends SoakCheck {
  override readonly promise = 'at-most-once'

  override violations (evidence: SoakEvidence): Violation[] {
    const runs = runsByRequest(evidence)
    return evidence.record.requests
      .filter(({ request }) => AT_MOST_ONCE_ROUTES.has(request.route) && (runs.get(request.id)?.length ?? 0) > 1)
      .map((seen) => this.violationOf(seen, `${seen.request.id} ran ${runs.get(seen.request.id)?.length} times`))
  }
}

/** Who is told that a request has not run can rely on it. */
export class NotRunClaimCheck extends SoakCheck {
  override readonly promise = 'not-run'

  override violations (evidence: SoakEvidence): Violation[] {
    const runs = runsByRequest(evidence)
    return evidence.record.requests
      .filter(({ request, answer }) => answer.saysNotRun && AT_MOST_ONCE_ROUTES.has(request.route) && runs.has(request.id))
      .map((seen) => this.violationOf(seen, `${seen.request.id} was answered ${seen.answer.status} and ran`))
  }
}

/** Nothing runs that nobody sent, or by another adapter than was asked for. */
export class RightAdapterCheck extends SoakCheck {
  override readonly promise = 'right-adapter'

  override violations (evidence: SoakEvidence): Violation[] {
    const sent = new Map([...evidence.record.requests, ...evidence.record.probes].map(({ request }) => [request.id, request]))
    return [...runsByRequest(evidence)].flatMap(([id, runs]) => runs
      .filter((run) => run.adapter !== sent.get(id)?.adapter || !sent.has(id))
      .map((run) => violationOfRun(run, `${id} asked for ${sent.get(id)?.adapter ?? 'nothing'} and ran by ${run.adapter ?? 'nothing'}`)))
  }
}

/** A leaving endpoint gets no new work, unless the store or an instance was in trouble around it. */
export class LeavingEndpointCheck extends SoakCheck {
  override readonly promise = 'leaving-endpoint'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    return record.leavings.flatMap(({ endpoint, at }) => {
      const runs = deployment.engines.find(({ options }) => options.id === endpoint)?.runs ?? []
      return runs
        .filter((run) => run.at > at + LEAVING_PROPAGATION_MILLISECONDS && record.faultsDuring(at, run.at, FAULT_MARGIN_MILLISECONDS).every(({ target }) => target === endpoint))
        .map((run) => violationOfRun(run, `${endpoint} was given ${run.request} ${run.at - at} ms after it was leaving`))
    })
  }
}

/** An engine is never ordered to hold more adapters than it has slots. */
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

/** Two instances do not order one engine within a lease; orders that the engine refused by their token do not count. */
export class SingleLoadOwnerCheck extends SoakCheck {
  override readonly promise = 'one-holder'
  private readonly staleTokenStatus = 412

  override violations ({ deployment }: SoakEvidence): Violation[] {
    return deployment.engines.flatMap(({ options, orders }) => {
      const taken = orders.filter(({ status }) => status !== this.staleTokenStatus)
      return taken.flatMap((order, index) => {
        const before = taken[index - 1]
        if (before === undefined || before.holder === order.holder || order.at - before.at >= LEASE_MILLISECONDS) return []
        return [{ message: `${options.id} was ordered by ${before.holder} and ${order.at - before.at} ms later by ${order.holder}`, from: before.at, to: order.at }]
      })
    })
  }
}
