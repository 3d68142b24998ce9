/** Promises about what callers get. */
import type { SeenRequest } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence } from './soak-check.js'

/** A process that was asked to stop, or a fault nearby, may be told of so late that the request is judged unfairly. */
const MARGIN_MILLISECONDS = 200
/** A final answer comes no later than so long after the caller's deadline. */
const LATE_MILLISECONDS = 1_000

/** A stream that ended as whole has each event once, in order, of one adapter. */
export class WholeStreamCheck extends SoakCheck {
  override readonly promise = 'whole-answer'

  override violations ({ record }: SoakEvidence): string[] {
    return [...record.requests, ...record.probes].flatMap(({ request, answer }) => {
      if (request.adapter === undefined || answer.status !== 200) return []
      const wrong = answer.events.find(({ id, adapter }, index) => id !== index + 1 || adapter !== request.adapter)
      if (wrong !== undefined) return [`${request.id} for ${request.adapter}: event ${wrong.id} of ${wrong.adapter} out of place`]
      if (answer.whole && answer.events.length !== request.events) return [`${request.id} ended as whole after ${answer.events.length} of ${request.events} events`]
      return []
    })
  }
}

/** Somebody who waits gets a final answer in time, or a connection that ends. */
export class AnswerInTimeCheck extends SoakCheck {
  override readonly promise = 'every-request-ended'

  override violations ({ record }: SoakEvidence): string[] {
    return record.requests.flatMap(({ request, answer, instance, sentAt, endedAt }) => {
      if (answer.milliseconds <= request.deadlineMilliseconds + LATE_MILLISECONDS) return []
      const excused = record.during(sentAt, endedAt, MARGIN_MILLISECONDS).some(({ target, kind }) => target === instance || kind === 'kill-all-instances')
      return excused ? [] : [`${request.id} at ${instance} ended ${Math.round(answer.milliseconds)} ms after it was sent, deadline ${request.deadlineMilliseconds} ms`]
    })
  }
}

/** A stop as planned cuts off no request that was sent before it. */
export class PlannedStopCheck extends SoakCheck {
  override readonly promise = 'planned-stop'

  override violations ({ record }: SoakEvidence): string[] {
    const stops = record.faults.filter(({ kind }) => kind === 'stop-instance')
    return stops.flatMap((stop) => record.requests
      .filter(({ instance, sentAt, endedAt }) => instance === stop.target && sentAt < stop.from - MARGIN_MILLISECONDS && endedAt > stop.from)
      .filter((seen) => seen.answer.failure !== undefined && this.isAlone(record.during(seen.sentAt, seen.endedAt, MARGIN_MILLISECONDS)))
      .map((seen) => `${seen.request.id} was cut off by the stop of ${stop.target}: ${seen.answer.failure}`))
  }

  private isAlone (faults: readonly { readonly kind: string }[]): boolean {
    return faults.every(({ kind }) => kind === 'stop-instance')
  }
}

/** When all faults are over, nearly everybody is served. */
export class RecoveryCheck extends SoakCheck {
  override readonly promise = 'recovery'
  /** A model server's queue or a load may still cost one of them. */
  private readonly leastServed = 0.9

  override violations ({ record }: SoakEvidence): string[] {
    const served = record.probes.filter((probe) => isServed(probe)).length
    if (served >= record.probes.length * this.leastServed) return []
    const failures = record.probes.filter((probe) => !isServed(probe)).slice(0, 3).map(({ request, instance, answer }) => `${request.id} at ${instance}: ${answer.status} ${answer.failure ?? answer.text.slice(0, 120)}`)
    return [`${served} of ${record.probes.length} requests were served after all faults were over; ${failures.join('; ')}`]
  }
}

/** Instances end only when they are ended. */
export class NoLostInstanceCheck extends SoakCheck {
  override readonly promise = 'no-lost-instance'

  override violations ({ record }: SoakEvidence): string[] {
    return [...record.lost]
  }
}

function isServed ({ answer }: SeenRequest): boolean {
  return answer.status === 200 && answer.whole
}
