/** The decisions: where a request goes, what is loaded and evicted, who waits, who is refused. No input or output here. */
export * from './routing/routing-policy.js'
export * from './eviction/eviction-policy.js'
export * from './loads/load-order.js'
export * from './fairness/fair-queue.js'
export * from './limits/team-limiter.js'
export * from './retries/retry-budget.js'
