/** Limits the retries that this instance may send to each service. */
import type { Logger } from '@limpetwinch/core'
import { ExpiringRetryBudget } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { ServiceName } from '../routes/configuration.js'
import type { RetryBudgetSettings } from '../runtime/ingress-settings.js'
import type { SlackPart } from './slack-part.js'

/**
 * Fraction of the configured bound on retries that the instances use; the rest is a margin. The bound applies to any time window
 * over all instances, and retries reach endpoints some time after they were allowed.
 */
const USED_SHARE = 0.88
/** Part of a window for which a request pays for retries: requests before a window may pay for retries within it. */
const TOKEN_LIFETIME_SHARE = 0.1

/** What the budgets need of the instance. */
export interface RetryBudgetsDependencies {
  /** The bound on retries. */
  readonly settings: RetryBudgetSettings
  readonly slackPart: SlackPart
  readonly logger: Logger
  readonly metrics: Pick<IngressMetrics, 'retryDecided'>
}

/** A request that wants to be retried. */
export interface RetryNeed {
  readonly service: ServiceName
  readonly requestId: string | undefined
  /** Number of attempts that were made. */
  readonly tries: number
}

/**
 * One retry budget per service. The configured bound on retries applies to all instances together: per time window, a fixed fraction
 * of the requests, plus the slack, a number of retries that is allowed whatever the number of requests. Each instance may send
 * retries for this fraction of its own requests, plus its {@link SlackPart}. The sum over all instances stays within the bound without
 * communication, even when the instances are partitioned or start again, or callers move between them.
 */
export class RetryBudgets {
  private readonly parts: RetryBudgetsDependencies
  private readonly budgets = new Map<ServiceName, ExpiringRetryBudget>()

  constructor (parts: RetryBudgetsDependencies) {
    this.parts = parts
  }

  /** Counts a request to a service, which adds to its budget. */
  request (service: ServiceName, now: number): void {
    this.budget(service).deposit(now)
  }

  /**
   * Withdraws one retry from the budget of a service.
   *
   * @returns whether the retry is allowed; it is then counted
   */
  tryRetry ({ service, requestId, tries }: RetryNeed, now: number): boolean {
    const budget = this.budget(service)
    const isAllowed = budget.withdraw(now)
    const { logger, metrics, slackPart } = this.parts
    const { tokens, slackUsed, slack } = budget.use(now)
    metrics.retryDecided(service, isAllowed ? 'allowed' : 'refused')
    logger.debug(isAllowed ? 'The retry budget allows a retry.' : 'The retry budget does not allow a retry.', {
      request: requestId, service, tries, instances: slackPart.sharers, tokens, slackUsed, slack
    })
    return isAllowed
  }

  /** Notices instances that have left; called periodically. */
  maintain (now: number): void {
    this.parts.slackPart.update(now)
  }

  private budget (service: ServiceName): ExpiringRetryBudget {
    let budget = this.budgets.get(service)
    if (budget === undefined) {
      const { settings, slackPart } = this.parts
      budget = new ExpiringRetryBudget({
        share: settings.share * USED_SHARE,
        lifetimeMilliseconds: settings.windowMilliseconds * TOKEN_LIFETIME_SHARE,
        slack: (now) => settings.slack * USED_SHARE * slackPart.at(now),
        windowMilliseconds: settings.windowMilliseconds
      })
      this.budgets.set(service, budget)
    }
    return budget
  }
}
