/** Check of endpoints that answer with bytes without an end. */
import { UNBOUNDED_ANSWERS } from '../soak-record.js'
import { SoakCheck } from './soak-check.js'
import type { SoakEvidence, Violation } from './soak-check.js'

/** Such answers over all instances that put an endpoint out of use. */
const ANSWERS_TO_EJECT = 3
/** Time from the request of the last of these answers until no instance uses the endpoint: the answer must be found to be one, and the others told. */
const KNOWN_MILLISECONDS = 3_000
/** Trials within one fault: after 2 s, 4 s and 8 s, one of them by two instances, when a turn passes from one to the next. */
const ALLOWED_TRIALS = 4
/** Faults after which an instance may not know, or not act on, what the others know. */
const EXCUSES: ReadonlySet<string> = new Set(['kill-instance', 'kill-all-instances', 'stop-instance', 'pause-instance'])

/** Checks that an endpoint whose answers have no end gets hardly any request after a few of them. */
export class UnboundedAnswersCheck extends SoakCheck {
  override readonly promise = 'unbounded-answers'

  override violations ({ record, deployment }: SoakEvidence): Violation[] {
    const endpoints = [...deployment.engines, ...deployment.webServers]
    return record.faults.filter(({ kind }) => kind === UNBOUNDED_ANSWERS).flatMap(({ target, from, to }) => {
      const arrivals = endpoints.find(({ options }) => options.id === target)?.arrivals ?? []
      const answered = arrivals.filter(({ at, isEndless }) => isEndless && at >= from && at <= to)
      const knownAt = (answered[ANSWERS_TO_EJECT - 1]?.at ?? to) + KNOWN_MILLISECONDS
      const later = answered.filter(({ at }) => at > knownAt)
      if (later.length <= ALLOWED_TRIALS || record.faultsDuring(from, to, 0).some(({ kind }) => EXCUSES.has(kind))) return []
      return [{ message: `${target} answered without an end and got ${later.length} requests after it was known`, from: knownAt, to }]
    })
  }
}
