/** The promise that no request is lost: the caller of each request receives exactly one outcome. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { History } from '../history.js'

/** Detects requests that never ended, ended more than once, or ended without having been sent. */
export class EveryRequestEndedRule extends HistoryRule {
  override readonly promise = 'every-request-ended'

  override check (history: History): Violation[] {
    const known = new Set(history.requests.map((record) => record.sent.request))
    const lost = history.requests
      .filter((record) => record.ends.length === 0)
      .map((record) => this.violation(`request ${record.sent.request} never ended`, [record.sent, ...record.parts]))
    const doubled = history.requests
      .filter((record) => record.ends.length > 1)
      .map((record) => this.violation(`request ${record.sent.request} ended ${record.ends.length} times`, [record.sent, ...record.ends]))
    const foreign = history.of('request-ended')
      .filter((ended) => !known.has(ended.request))
      .map((ended) => this.violation(`request ${ended.request} ended and was never sent`, [ended]))
    return [...lost, ...doubled, ...foreign]
  }
}
