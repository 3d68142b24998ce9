/** No request is lost: each one that was sent is told exactly one outcome. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { History } from '../history.js'

/** Counts the ends of each request. */
export class EveryRequestEndedRule extends HistoryRule {
  override readonly promise = 'every-request-ended'

  override check (history: History): Violation[] {
    const known = new Set(history.requests.map((view) => view.sent.request))
    const lost = history.requests
      .filter((view) => view.ends.length === 0)
      .map((view) => this.violation(`request ${view.sent.request} never ended`, [view.sent, ...view.parts]))
    const doubled = history.requests
      .filter((view) => view.ends.length > 1)
      .map((view) => this.violation(`request ${view.sent.request} ended ${view.ends.length} times`, [view.sent, ...view.ends]))
    const foreign = history.of('request-ended')
      .filter((ended) => !known.has(ended.request))
      .map((ended) => this.violation(`request ${ended.request} ended and was never sent`, [ended]))
    return [...lost, ...doubled, ...foreign]
  }
}
