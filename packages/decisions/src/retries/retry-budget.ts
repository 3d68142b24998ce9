/** How many retries are allowed, so that they cannot grow into a storm. */

/** Allows retries as a share of recent first attempts. */
export abstract class RetryBudget {
  /** Tells of a first attempt. */
  abstract deposit (now: number): void

  /** @returns whether one retry may be made now; it is then spent */
  abstract withdraw (now: number): boolean
}
