/**
 * Limits the number of retries to a fraction of the number of recent first attempts, so that retries cannot multiply the load of
 * an overloaded service.
 */
export abstract class RetryBudget {
  /** Records a first attempt, which adds to the budget. */
  abstract deposit (now: number): void

  /** @returns whether a retry may be made now; if so, the retry is deducted from the budget */
  abstract withdraw (now: number): boolean
}
