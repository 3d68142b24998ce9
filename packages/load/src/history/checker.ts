/** The checker of all promises over one history. */
import type { HistoryEvent } from './events.js'
import { History } from './history.js'
import type { HistoryRule, Violation } from './history-rule.js'
import { AtMostOnceRule } from './rules/at-most-once-rule.js'
import { EveryRequestEndedRule } from './rules/every-request-ended-rule.js'
import { FairnessRule } from './rules/fairness-rule.js'
import { LeavingEndpointRule } from './rules/leaving-endpoint-rule.js'
import { NoEvictionInUseRule } from './rules/no-eviction-in-use-rule.js'
import { NotRunRule } from './rules/not-run-rule.js'
import { PlannedStopRule } from './rules/planned-stop-rule.js'
import { RightAdapterRule } from './rules/right-adapter-rule.js'
import { SettingsInForceRule } from './rules/settings-in-force-rule.js'
import { WholeAnswerRule } from './rules/whole-answer-rule.js'
import type { ComputeAnswer } from './rules/whole-answer-rule.js'

/** Bounds of the promises that depend on the deployment. */
export interface CheckBounds {
  /** How long an endpoint may receive new work after it was listed as leaving, milliseconds. */
  readonly leavingGrace: number
  /** Time within which accepted settings have to be in force on every reachable instance, milliseconds. */
  readonly settingsInForce: number
  /** Largest allowed difference between the weighted service of two backlogged teams, tokens. */
  readonly fairness: number
}

/** Default bounds, which follow the wording of the promises ("a few seconds", "within seconds"). */
export const DEFAULT_BOUNDS: CheckBounds = { leavingGrace: 5_000, settingsInForce: 4_000, fairness: 4_096 }

/** Checks a history against every promise. */
export class HistoryChecker {
  readonly rules: readonly HistoryRule[]

  /**
   * @param answerText - computes the text that the endpoints of the history generate
   * @param bounds - bounds of the deployment
   */
  constructor (answerText: ComputeAnswer, bounds: CheckBounds = DEFAULT_BOUNDS) {
    this.rules = [
      new RightAdapterRule(),
      new NoEvictionInUseRule(),
      new WholeAnswerRule(answerText),
      new NotRunRule(),
      new AtMostOnceRule(),
      new LeavingEndpointRule(bounds.leavingGrace),
      new PlannedStopRule(),
      new SettingsInForceRule(bounds.settingsInForce),
      new FairnessRule(bounds.fairness),
      new EveryRequestEndedRule()
    ]
  }

  /** @returns all violations in a history */
  check (events: readonly HistoryEvent[]): Violation[] {
    const history = new History(events)
    return this.rules.flatMap((rule) => rule.check(history))
  }
}
