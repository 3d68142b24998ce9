/** Checks of the responses that callers receive, and of instances that end unexpectedly. */
import { FAVOURED_INSTANCE, LONG_PROMPTS, SLOW_ENDPOINT } from '../soak-record.js'
import type { FaultSpan, ObservedRequest, SoakRecord } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Margin around a fault. Recorded times can differ from when a stop or fault takes effect; requests within the margin count as affected. */
const FAULT_MARGIN_MILLISECONDS = 200
/** Maximum delay of a complete response after the caller's deadline. */
const DEADLINE_TOLERANCE_MILLISECONDS = 1_000

/** Checks that a stream has each event once and in order, all of the requested adapter, and that a complete stream has all its events. */
export class CompleteStreamCheck extends SoakCheck {
  override readonly promise = 'whole-answer'

  override violations ({ record }: SoakEvidence): Violation[] {
    return [...record.requests, ...record.probes].flatMap((observed) => {
      const { request, answer } = observed
      if (request.adapter === undefined || answer.status !== 200) return []
      const first = (request.resumption?.after ?? 0) + 1
      const misplaced = answer.events.find(({ id, adapter }, index) => id !== first + index || adapter !== request.adapter)
      if (misplaced !== undefined) return [this.violationOf(observed, `${request.id} for ${request.adapter}: event ${misplaced.id} of ${misplaced.adapter} out of place`)]
      if (answer.whole && first - 1 + answer.events.length !== request.events) return [this.violationOf(observed, `${request.id} ended as complete after ${answer.events.length} of ${request.events} events`)]
      return []
    })
  }
}

/** Checks that each request ends in time, with a response or a closed connection, unless a fault hit its instance. */
export class ResponseDeadlineCheck extends SoakCheck {
  override readonly promise = 'every-request-ended'

  override violations ({ record }: SoakEvidence): Violation[] {
    return record.requests.flatMap((observed) => {
      const { request, answer, instance, sentAt, endedAt } = observed
      if (answer.milliseconds <= request.deadlineMilliseconds + DEADLINE_TOLERANCE_MILLISECONDS) return []
      const isExcused = record.faultsDuring(sentAt, endedAt, FAULT_MARGIN_MILLISECONDS).some(({ target, kind }) => target === instance || kind === 'kill-all-instances')
      return isExcused ? [] : [this.violationOf(observed, `${request.id} at ${instance} ended ${Math.round(answer.milliseconds)} ms after it was sent, deadline ${request.deadlineMilliseconds} ms`)]
    })
  }
}

/** Checks that the planned stop of an instance truncates no request sent before it, unless a fault of another kind was close in time. */
export class PlannedStopCheck extends SoakCheck {
  override readonly promise = 'planned-stop'

  override violations ({ record }: SoakEvidence): Violation[] {
    const stops = record.faults.filter(({ kind }) => kind === 'stop-instance')
    return stops.flatMap((stop) => record.requests
      .filter(({ instance, sentAt, endedAt }) => instance === stop.target && sentAt < stop.from - FAULT_MARGIN_MILLISECONDS && endedAt > stop.from)
      // A connection that the caller closed itself says nothing of the instance.
      .filter(({ answer, request }) => answer.failure !== undefined && request.dropAfterEvents === undefined)
      .filter((observed) => this.areAllPlannedStops(record.faultsDuring(observed.sentAt, observed.endedAt, FAULT_MARGIN_MILLISECONDS)))
      .map((observed) => this.violationOf(observed, `${observed.request.id} was truncated by the stop of ${stop.target}: ${observed.answer.failure}`)))
  }

  private areAllPlannedStops (faults: readonly { readonly kind: string }[]): boolean {
    return faults.every(({ kind }) => kind === 'stop-instance')
  }
}

/** Checks that nearly all requests are served once all faults are over. */
export class RecoveryCheck extends SoakCheck {
  override readonly promise = 'recovery'
  /** Less than 1, because a request can still fail on a full queue of a model server or on an adapter load. */
  private readonly minimumServedShare = 0.9
  private readonly maximumReportedFailures = 3

  override violations ({ record }: SoakEvidence): Violation[] {
    const served = record.probes.filter((probe) => isServed(probe)).length
    if (served >= record.probes.length * this.minimumServedShare) return []
    const failed = record.probes.filter((probe) => !isServed(probe))
    const examples = failed.slice(0, this.maximumReportedFailures).map(({ request, instance, answer }) => `${request.id} at ${instance}: ${answer.status} ${answer.failure ?? answer.text.slice(0, 120)}`)
    const message = `${served} of ${record.probes.length} requests were served after all faults were over; ${examples.join('; ')}`
    return failed.slice(0, 1).map((probe) => this.violationOf(probe, message))
  }
}

/** Checks that callers are served as before while a fault of one kind lasts. Periods with other faults are left out. */
export abstract class ServedAsBeforeCheck extends SoakCheck {
  /** Kind of the fault. */
  protected abstract readonly kind: string
  /** What happens meanwhile, for the message. */
  protected abstract readonly period: string
  private readonly settleMilliseconds = 3_000
  private readonly minimumShare = 0.75
  private readonly minimumRequests = 20

  override violations ({ record }: SoakEvidence): Violation[] {
    return record.faults.filter(({ kind }) => kind === this.kind).flatMap((span) => this.violationsIn(record, span))
  }

  private violationsIn (record: SoakRecord, span: FaultSpan): Violation[] {
    const { from, to } = span
    const others = record.disruptionsDuring(from - this.settleMilliseconds, to, FAULT_MARGIN_MILLISECONDS).filter((fault) => fault !== span)
    if (others.length > 0) return []
    const before = record.requests.filter(({ sentAt }) => sentAt >= from - this.settleMilliseconds && sentAt < from)
    const during = record.requests.filter(({ sentAt }) => sentAt >= from + this.settleMilliseconds && sentAt < to)
    if (before.length < this.minimumRequests || during.length < this.minimumRequests) return []
    const [shareBefore, shareDuring] = [before, during].map((requests) => requests.filter(isServed).length / requests.length) as [number, number]
    if (shareDuring >= this.minimumShare * shareBefore) return []
    return [{ message: `${shareDuring.toFixed(2)} of ${during.length} requests were served while ${this.period}, ${shareBefore.toFixed(2)} before`, from, to }]
  }
}

/** Checks that callers are served as before while most new connections go to one instance. */
export class FavouredInstanceCheck extends ServedAsBeforeCheck {
  override readonly promise = 'favoured-instance'
  protected override readonly kind = FAVOURED_INSTANCE
  protected override readonly period = 'most connections went to one instance'
}

/** Checks that callers are served as before while one engine and one web server are slow. */
export class SlowEndpointCheck extends ServedAsBeforeCheck {
  override readonly promise = 'slow-endpoint'
  protected override readonly kind = SLOW_ENDPOINT
  protected override readonly period = 'an engine and a web server were slow'
}

/** Checks that callers are served as before while engines read many long prompts. */
export class LongPromptCheck extends ServedAsBeforeCheck {
  override readonly promise = 'long-prompts'
  protected override readonly kind = LONG_PROMPTS
  protected override readonly period = 'engines read long prompts'
}

/** Checks that no instance ends by itself, and that each one ends when told to. */
export class UnexpectedEndCheck extends SoakCheck {
  override readonly promise = 'no-lost-instance'

  override violations ({ record }: SoakEvidence): Violation[] {
    return record.lost.map(({ instance, reason, at }) => ({ message: `${instance}: ${reason}`, from: at, to: at, instance }))
  }
}

function isServed ({ answer }: ObservedRequest): boolean {
  return answer.status === 200 && answer.whole
}
