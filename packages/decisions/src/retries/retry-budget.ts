/** Limits retries to a share of the recent first attempts, so that retries cannot multiply the load of an overloaded service. */
export abstract class RetryBudget {
  /** Records a first attempt. */
  abstract deposit (now: number): void

  /** @returns whether a retry may be made now; if so, it is deducted from the budget */
  abstract withdraw (now: number): boolean
}
