/** What service each team has had: virtual time for fairness, and a decayed sum that says who is over its share. */

/** Memory of {@link ServiceAccounting}. */
export interface ServiceAccountingOptions {
  /** Service of the whole deployment after which earlier service counts 1/e, tokens. */
  readonly memoryTokens?: number
}

interface TeamAccount {
  weight: number
  /** Service divided by weight; lifted when the team comes back from idling. */
  virtualTime: number
  /** Decayed service, in units of the ledger's growing scale. */
  recent: number
  /** Requests that wait in all queues of this ledger. */
  waiting: number
}

const MAXIMUM_SCALE = 1e100
const CHARGES_PER_COUNT = 100
/** A team with less than this of the recent service counts as idle. */
const MINIMUM_ACTIVE_SHARE = 1e-3

/**
 * Accounts of teams, shared by all queues of one instance; service by other instances of the data centre comes in
 * through `charge`. One ledger for several queues keeps a team from having a full share on each engine that it uses.
 */
export class ServiceAccounting {
  private readonly accounts = new Map<string, TeamAccount>()
  private readonly backlogged = new Set<string>()
  private readonly memoryTokens: number
  /** Grows with service, in place of shrinking every account. */
  private scale = 1
  /** Virtual time of the team served last, for teams that arrive when nobody waits. */
  private lastVirtualTime = 0
  private activeService = 0
  private activeWeight = 0
  private chargesUntilCount = 0

  constructor (options: ServiceAccountingOptions = {}) {
    this.memoryTokens = options.memoryTokens ?? 300_000
  }

  /** Sets a team's weight; the service it had stays. */
  setWeight (team: string, weight: number): void {
    const account = this.account(team)
    // Its lead or lag over the others is kept in time, not multiplied by a change of weight.
    account.weight = weight
  }

  /** Tells that a request of the team began to wait. */
  arrived (team: string): void {
    const account = this.account(team)
    if (account.waiting === 0) {
      // A team that idled would come back with a low virtual time and be served alone until it caught up.
      account.virtualTime = Math.max(account.virtualTime, this.minimumVirtualTime())
      this.backlogged.add(team)
    }
    account.waiting += 1
  }

  /** Tells that a request no longer waits. */
  left (team: string): void {
    const account = this.account(team)
    account.waiting = Math.max(0, account.waiting - 1)
    if (account.waiting === 0) this.backlogged.delete(team)
  }

  /** Charges service; negative when less came than was expected. */
  charge (team: string, tokens: number): void {
    const account = this.account(team)
    account.virtualTime += tokens / account.weight
    this.lastVirtualTime = Math.max(this.lastVirtualTime, account.virtualTime)
    this.chargesUntilCount -= 1
    if (tokens > 0) this.growScale(tokens)
    account.recent = Math.max(0, account.recent + tokens * this.scale)
  }

  /** @returns the team's weight */
  weight (team: string): number {
    return this.account(team).weight
  }

  /** @returns the team's virtual time; lower is served first */
  virtualTime (team: string): number {
    return this.account(team).virtualTime
  }

  /** @returns the team's recent service over its weighted share of the backlogged teams' recent service; 1 is fair */
  shareUsed (team: string): number {
    const account = this.account(team)
    let service = account.waiting === 0 ? account.recent : 0
    let weights = account.waiting === 0 ? account.weight : 0
    for (const name of this.backlogged) {
      const other = this.account(name)
      service += other.recent
      weights += other.weight
    }
    if (service <= 0) return 1
    return (account.recent / service) / (account.weight / weights)
  }

  /**
   * A team that floods is often the only one that waits, since the others are served at once; among those that wait it
   * has no more than its share. Among all that were served of late it has.
   *
   * @returns the team's recent service over its weighted share of all teams' recent service; 1 is fair
   */
  shareUsedAmongActive (team: string): number {
    if (this.chargesUntilCount <= 0) this.countActive()
    if (this.activeService <= 0) return 1
    const account = this.account(team)
    return (account.recent / this.activeService) / (account.weight / this.activeWeight)
  }

  /** Goes through all teams, once for many charges. */
  private countActive (): void {
    this.chargesUntilCount = CHARGES_PER_COUNT
    this.activeService = 0
    this.activeWeight = 0
    for (const account of this.accounts.values()) this.activeService += account.recent
    for (const account of this.accounts.values()) {
      if (account.recent > this.activeService * MINIMUM_ACTIVE_SHARE) this.activeWeight += account.weight
    }
  }

  /** @returns the least virtual time of the teams that wait, else that of the service last given */
  private minimumVirtualTime (): number {
    let least = Infinity
    for (const team of this.backlogged) least = Math.min(least, this.account(team).virtualTime)
    return least === Infinity ? this.lastVirtualTime : least
  }

  private growScale (tokens: number): void {
    this.scale *= Math.exp(tokens / this.memoryTokens)
    if (this.scale < MAXIMUM_SCALE) return
    for (const account of this.accounts.values()) account.recent /= this.scale
    this.scale = 1
    this.chargesUntilCount = 0
  }

  private account (team: string): TeamAccount {
    const existing = this.accounts.get(team)
    if (existing !== undefined) return existing
    const created = { weight: 1, virtualTime: 0, recent: 0, waiting: 0 }
    this.accounts.set(team, created)
    return created
  }
}
