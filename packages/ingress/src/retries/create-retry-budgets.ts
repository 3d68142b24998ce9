/** Creates the retry budgets of one instance from the instance's other components. */
import type { Logger } from '@limpetwinch/core'
import type { MemberList } from '../members/member-list.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { IngressSettings } from '../runtime/ingress-settings.js'
import { RetryBudgets } from './retry-budgets.js'
import { SlackPart } from './slack-part.js'

/** The components that the retry budgets need. */
export interface RetryBudgetComponents {
  readonly settings: Pick<IngressSettings, 'name' | 'repeats' | 'isFirstStart'>
  readonly members: MemberList
  readonly logger: Logger
  readonly metrics: IngressMetrics
}

/** @returns the retry budgets */
export function createRetryBudgets ({ settings: { name, repeats, isFirstStart }, members, logger, metrics }: RetryBudgetComponents): RetryBudgets {
  const slackPart = new SlackPart({ self: name, listedNames: () => members.listedNames(), windowMilliseconds: repeats.windowMilliseconds, isFirstStart })
  return new RetryBudgets({ settings: repeats, slackPart, logger, metrics })
}
