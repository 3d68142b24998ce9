/** Promises about what callers get. */
import type { ObservedRequest } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** A process that was asked to stop, or a fault nearby, may be told of so late that the request is judged unfairly. */
const FAULT_MARGIN_MILLISECONDS = 200
/** A final answer comes no later than so long after the caller's deadline. */
const DEADLINE_TOLERANCE_MILLISECONDS = 1_000

/** A stream that ended as whole has each event once, in order, of one adapter. */
export class CompleteStreamCheck extends SoakCheck {
  override readonly promise = 'whole-answer'

  override violations ({ record }: SoakEvidence): Violation[] {
    return [...record.requests, ...record.probes].flatMap((seen) => {
      const { request, answer } = seen
      if (request.adapter === undefined || answer.status !== 200) return []
      const wrong = answer.events.find(({ id, adapter }, index) => id !== index + 1 || adapter !== request.adapter)
      if (wrong !== undefined) return [this.violationOf(seen, `${request.id} for ${request.adapter}: event ${wrong.id} of ${wrong.adapter} out of place`)]
      if (answer.whole && answer.events.length !== request.events) return [this.violationOf(seen, `${request.id} ended as whole after ${answer.events.length} of ${request.events} events`)]
      return []
    })
  }
}

/** Somebody who waits gets a final answer in time, or a connection that ends. */
export class ResponseDeadlineCheck extends SoakCheck {
  override readonly promise = 'every-request-ended'

  override violations ({ record }: SoakEvidence): Violation[] {
    return record.requests.flatMap((seen) => {
      const { request, answer, instance, sentAt, endedAt } = seen
      if (answer.milliseconds <= request.deadlineMilliseconds + DEADLINE_TOLERANCE_MILLISECONDS) return []
      const excused = record.faultsDuring(sentAt, endedAt, FAULT_MARGIN_MILLISECONDS).some(({ target, kind }) => target === instance || kind === 'kill-all-instances')
      return excused ? [] : [this.violationOf(seen, `${request.id} at ${instance} ended ${Math.round(answer.milliseconds)} ms after it was sent, deadline ${request.deadlineMilliseconds} ms`)]
    })
  }
}

/** A stop as planned cuts off no request that was sent before it. */
export class PlannedStopCheck extends SoakCheck {
  override readonly promise = 'planned-stop'

  override violations ({ record }: SoakEvidence): Violation[] {
    const stops = record.faults.filter(({ kind }) => kind === 'stop-instance')
    return stops.flatMap((stop) => record.requests
      .filter(({ instance, sentAt, endedAt }) => instance === stop.target && sentAt < stop.from - FAULT_MARGIN_MILLISECONDS && endedAt > stop.from)
      .filter((seen) => seen.answer.failure !== undefined && this.areAllPlannedStops(record.faultsDuring(seen.sentAt, seen.endedAt, FAULT_MARGIN_MILLISECONDS)))
      .map((seen) => this.violationOf(seen, `${seen.request.id} was cut off by the stop of ${stop.target}: ${seen.answer.failure}`)))
  }

  private areAllPlannedStops (faults: readonly { readonly kind: string }[]): boolean {
    return faults.every(({ kind }) => kind === 'stop-instance')
  }
}

/** When all faults are over, nearly everybody is served. */
export class RecoveryCheck extends SoakCheck {
  override readonly promise = 'recovery'
  /** A model server's queue or a load may still cost one of them. */
  private readonly minimumServedShare = 0.9
  private readonly maximumReportedFailures = 3

  override violations ({ record }: SoakEvidence): Violation[] {
    const served = record.probes.filter((probe) => isServed(probe)).length
    if (served >= record.probes.length * this.minimumServedShare) return []
    const failed = record.probes.filter((probe) => !isServed(probe))
    const told = failed.slice(0, this.maximumReportedFailures).map(({ request, instance, answer }) => `${request.id} at ${instance}: ${answer.status} ${answer.failure ?? answer.text.slice(0, 120)}`)
    const message = `${served} of ${record.probes.length} requests were served after all faults were over; ${told.join('; ')}`
    return failed.slice(0, 1).map((probe) => this.violationOf(probe, message))
  }
}

/** Instances end only when they are ended. */
export class UnexpectedEndCheck extends SoakCheck {
  override readonly promise = 'no-lost-instance'

  override violations ({ record }: SoakEvidence): Violation[] {
    return record.lost.map(({ instance, reason, at }) => ({ message: `${instance}: ${reason}`, from: at, to: at, instance }))
  }
}

function isServed ({ answer }: ObservedRequest): boolean {
  return answer.status === 200 && answer.whole
}
