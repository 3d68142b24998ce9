/** The tokens of one team that one instance holds for coming requests, and how many it should hold. */

/** Time constant of the average demand, in milliseconds. */
const DEMAND_MILLISECONDS = 2_000
/** Demand for which tokens are held ahead, in milliseconds: longer than an ask and its answer take while instances are replaced. */
const AHEAD_MILLISECONDS = 1_000
/** Time without a request after which all tokens are given back, in milliseconds. */
const IDLE_MILLISECONDS = 4_000
/** Part of the target below which more tokens are asked for. */
const REFILL_SHARE = 0.5
/** Weight of the newest request in the average cost. */
const COST_WEIGHT = 0.2

/** Holds tokens that were granted and estimates the demand from the requests that use them. */
export class QuotaHolding {
  private tokens = 0
  private demandPerSecond = 0
  private averageCost = 0
  private lastUsedAt = -Infinity

  /** Tokens held now. */
  get balance (): number {
    return this.tokens
  }

  /** Records a request, whether or not its tokens are held. */
  recordDemand (cost: number, now: number): void {
    const elapsed = Math.min(now - this.lastUsedAt, 10 * DEMAND_MILLISECONDS)
    this.demandPerSecond = this.demandPerSecond * Math.exp(-elapsed / DEMAND_MILLISECONDS) + cost * 1_000 / DEMAND_MILLISECONDS
    this.averageCost = this.averageCost === 0 ? cost : this.averageCost + COST_WEIGHT * (cost - this.averageCost)
    this.lastUsedAt = now
  }

  /** Uses held tokens for a request. @returns false when too few are held; none are used then */
  tryTake (cost: number): boolean {
    if (cost > this.tokens) return false
    this.tokens -= cost
    return true
  }

  /** Adds tokens that were granted, or those of a request that did not run. */
  add (tokens: number): void {
    this.tokens += tokens
  }

  /** Keeps no more than this part of the tokens, after the quota was lowered. */
  reduceTo (share: number): void {
    this.tokens *= Math.max(0, Math.min(1, share))
  }

  /** Takes out the tokens above twice the target, to be given back. @returns the tokens taken out */
  takeSurplus (now: number): number {
    const surplus = Math.max(0, this.tokens - 2 * this.target(now))
    this.tokens -= surplus
    return surplus
  }

  /** @returns tokens to ask for; 0 while enough are held */
  wanted (now: number): number {
    const target = this.target(now)
    return this.tokens < REFILL_SHARE * target ? target - this.tokens : 0
  }

  /** Whether the team has sent no request to this instance for some time. */
  isIdle (now: number): boolean {
    return now - this.lastUsedAt > IDLE_MILLISECONDS
  }

  private target (now: number): number {
    if (this.isIdle(now)) return 0
    const decayed = this.demandPerSecond * Math.exp(-(now - this.lastUsedAt) / DEMAND_MILLISECONDS)
    return Math.max(2 * this.averageCost, decayed * AHEAD_MILLISECONDS / 1_000)
  }
}
