/** Limits the retries that this instance may send to each service. */
import { ShareRetryBudget } from '@limpetwinch/decisions'
import type { ServiceName } from '../routes/configuration.js'
import type { RetryBudgetSettings } from '../runtime/ingress-settings.js'

/**
 * Fraction of the configured bound on retries that the instances use; the rest is a margin. The bound applies to any time window
 * over all instances. The windows here advance in steps of a tenth of a window, and when instances join or leave, each instance
 * recomputes its part of the slack (the retries allowed whatever the number of requests) at a slightly different time.
 */
const USED_SHARE = 0.8

/**
 * One retry budget per service. The configured bound on retries applies to all instances together: per time window, a fixed fraction
 * of the requests, plus the slack, a number of retries that is allowed whatever the number of requests. Each instance may send
 * retries for this fraction of its own requests, plus an equal part of the slack. The sum over all instances stays within the bound
 * without communication, even when the instances are partitioned.
 */
export class RetryBudgets {
  private readonly settings: RetryBudgetSettings
  private readonly instances: () => number
  private readonly budgets = new Map<ServiceName, ShareRetryBudget>()

  /**
   * @param settings - the bound on retries
   * @param instances - returns the number of instances that share the slack
   */
  constructor (settings: RetryBudgetSettings, instances: () => number) {
    this.settings = settings
    this.instances = instances
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
  tryRetry (service: ServiceName, now: number): boolean {
    return this.budget(service).withdraw(now)
  }

  private budget (service: ServiceName): ShareRetryBudget {
    let budget = this.budgets.get(service)
    if (budget === undefined) {
      budget = new ShareRetryBudget({
        share: this.settings.share * USED_SHARE,
        minimumRetries: () => this.settings.slack * USED_SHARE / this.instances(),
        windowMilliseconds: this.settings.windowMilliseconds
      })
      this.budgets.set(service, budget)
    }
    return budget
  }
}
