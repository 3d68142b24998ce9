/** Divides one quota between the instances: that of a team, or the rate limit of an endpoint. */

/** How many tokens may be used, over all instances together. */
export interface QuotaRate {
  readonly tokensPerSecond: number
  /** Most tokens that may be available or held at one time. */
  readonly capacity: number
}

/** What one instance asks of the ledger. */
export interface QuotaAsk {
  /** Tokens that the instance holds and has not used. */
  readonly held: number
  /** Tokens that the instance gives back, no longer included in `held`. */
  readonly returned: number
  /** Costs of the requests that wait for this ask, in tokens. */
  readonly needs: readonly number[]
  /** For each of the needs the part of the capacity that must be available beyond 0, so that less is left to less urgent requests; 0 by default. */
  readonly floors?: readonly number[]
  /** Tokens that the instance wants to hold for coming requests. */
  readonly wanted: number
}

/** What the ledger grants for one ask. */
export interface QuotaGrant {
  /** For each of the needs whether its tokens are granted. */
  readonly granted: readonly boolean[]
  /** Tokens granted for coming requests. */
  readonly extra: number
  /** Expected time until a refused need can be granted, in milliseconds; 0 if none was refused. */
  readonly milliseconds: number
}

/** Part of the capacity that instances may hold for coming requests. The rest is left for the requests that wait for an ask. */
const HELD_SHARE = 0.5
/** Part of the capacity that is kept for waiting requests and is not granted for coming ones. */
const RESERVED_SHARE = 0.25
/** Time in which refused tokens are forgotten, in milliseconds: callers that were refused have returned or given up by then. */
const REFUSED_MEMORY_MILLISECONDS = 1_000
/** Time after which a token that was used counts 1/e as much as a new one in the used share, in milliseconds. */
const USED_MEMORY_MILLISECONDS = 3_000
/** Lower bound of the time after which a refused caller may retry, so that no caller retries at once. */
const MINIMUM_RETRY_MILLISECONDS = 50
/** Upper bound of that time, which is infinite while nothing accrues. */
const MAXIMUM_RETRY_MILLISECONDS = 60_000

/**
 * Tokens accrue at the rate of the quota. A need is granted while any token is available, and the level may become negative by it: if a need
 * had to fit as a whole, small requests over the quota would use up all tokens and no large one would ever be granted.
 *
 * Available and held tokens together never exceed the capacity. Thus, however long tokens are held, no more than the capacity, the
 * tokens that accrue and one request are used in any period. A new ledger is empty, because the one before it may have granted all.
 */
export class QuotaLedger {
  private quota: QuotaRate
  private available: number
  private updatedAt: number
  private readonly heldBy = new Map<string, number>()
  private held = 0
  /** Tokens that were refused in the last moments; their callers will return and compete for the tokens that accrue. */
  private refused = 0
  /** Tokens granted and not given back in the last seconds, decayed. */
  private used = 0

  /**
   * @param quota - rate and capacity
   * @param since - monotonic milliseconds from which tokens accrue
   * @param level - tokens available then; below 0 so that the first need is granted as late as any later one
   */
  constructor (quota: QuotaRate, since: number, level = 0) {
    this.quota = quota
    this.available = level
    this.updatedAt = since
  }

  /** Whether no instance holds tokens and the ledger is full, so that it need not be kept. */
  isIdle (now: number): boolean {
    this.refill(now)
    return this.held === 0 && this.available >= this.quota.capacity
  }

  /** Changes rate and capacity; tokens above a lower capacity are dropped. */
  configure (quota: QuotaRate, now: number): void {
    this.refill(now)
    this.quota = quota
    this.refill(now)
  }

  /** @returns tokens used in the last seconds over all instances, divided by those that accrue in that time; above 1 more than the quota was used */
  usedShare (now: number): number {
    this.refill(now)
    return Math.max(0, this.used) / (this.quota.tokensPerSecond * USED_MEMORY_MILLISECONDS / 1_000)
  }

  /** Grants tokens to an instance. */
  answer (holder: string, ask: QuotaAsk, now: number): QuotaGrant {
    this.setHeld(holder, ask.held)
    this.available += ask.returned
    this.used -= ask.returned
    this.refill(now)
    const granted = ask.needs.map((need, index) => this.tryTake(need, ask.floors?.[index] ?? 0))
    const refused = ask.needs.filter((_need, index) => granted[index] === false)
    const milliseconds = refused.length === 0 ? 0 : this.millisecondsUntilGranted()
    const extra = refused.length === 0 ? this.takeExtra(ask.wanted) : 0
    this.setHeld(holder, ask.held + extra)
    return { granted, extra, milliseconds }
  }

  /** Counts the tokens that an unreachable instance holds as used. */
  forget (isReachable: (holder: string) => boolean): void {
    for (const holder of [...this.heldBy.keys()]) if (!isReachable(holder)) this.setHeld(holder, 0)
  }

  private tryTake (need: number, floor: number): boolean {
    if (this.available > floor * this.quota.capacity) {
      this.available -= need
      this.used += need
      return true
    }
    this.refused += need
    return false
  }

  private takeExtra (wanted: number): number {
    const { capacity } = this.quota
    const spare = Math.min(this.available - capacity * RESERVED_SHARE, capacity * HELD_SHARE - this.held)
    const extra = Math.max(0, Math.min(wanted, spare))
    this.available -= extra
    this.used += extra
    return extra
  }

  private millisecondsUntilGranted (): number {
    const missing = this.refused - this.available
    const milliseconds = Math.ceil(missing / this.quota.tokensPerSecond * 1_000)
    return Math.max(MINIMUM_RETRY_MILLISECONDS, Math.min(MAXIMUM_RETRY_MILLISECONDS, milliseconds))
  }

  private setHeld (holder: string, tokens: number): void {
    this.held += tokens - (this.heldBy.get(holder) ?? 0)
    if (tokens > 0) this.heldBy.set(holder, tokens)
    else this.heldBy.delete(holder)
    if (this.heldBy.size === 0) this.held = 0
  }

  private refill (now: number): void {
    const elapsed = Math.max(0, now - this.updatedAt)
    this.updatedAt = Math.max(now, this.updatedAt)
    this.available = Math.min(this.quota.capacity - this.held, this.available + elapsed * this.quota.tokensPerSecond / 1_000)
    this.refused *= Math.exp(-elapsed / REFUSED_MEMORY_MILLISECONDS)
    this.used *= Math.exp(-elapsed / USED_MEMORY_MILLISECONDS)
  }
}
