/** How many repeats each service may get from this instance. */
import { ShareRetryBudget } from '@limpetwinch/decisions'
import type { ServiceName } from '../routes/configuration.js'
import type { RetryBudgetSettings } from '../runtime/ingress-settings.js'

/**
 * Part of the bound that is used. The bound holds for any window over all instances; windows here move in tenths, and
 * instances that come or go divide the slack anew at slightly different moments.
 */
const USED_SHARE = 0.8

/**
 * One budget for each service. The bound is on all instances together: each takes its own requests' share of it and an
 * equal part of the slack, so that the sum keeps it without a word between them, also when they are cut off.
 */
export class RetryBudgets {
  private readonly settings: RetryBudgetSettings
  private readonly instances: () => number
  private readonly budgets = new Map<ServiceName, ShareRetryBudget>()

  /**
   * @param settings - the bound
   * @param instances - how many share the slack
   */
  constructor (settings: RetryBudgetSettings, instances: () => number) {
    this.settings = settings
    this.instances = instances
  }

  /** Counts a request for a service. */
  request (service: ServiceName, now: number): void {
    this.budget(service).deposit(now)
  }

  /** @returns whether one more arrival of a request that was sent before is allowed; it is then counted */
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
