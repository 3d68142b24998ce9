/** Options of {@link ServiceAccounting}. */
export interface ServiceAccountingOptions {
  /** Service of all teams after which earlier service has 1/e of its weight, tokens. */
  readonly memoryTokens?: number
}

interface TeamAccount {
  weight: number
  /** Service divided by weight; raised when the team becomes backlogged again after being idle. */
  virtualTime: number
  /** Decayed service, multiplied by the growing `scale`. */
  recent: number
  /** Number of queued requests in all queues that share this accounting. */
  waiting: number
}

/** Scale at which all accounts are rescaled, well below the largest floating-point number. */
const MAXIMUM_SCALE = 1e100
/** Number of charges between two recounts of the active teams. */
const CHARGES_PER_COUNT = 100
/** A team with less than this share of the recent service counts as idle. */
const MINIMUM_ACTIVE_SHARE = 1e-3

/**
 * Records the service that each team received: a virtual time for fair queueing, and a decayed sum that shows which teams are over
 * their share. All queues of an instance share one accounting, so that a team does not get a full share on each engine that it
 * uses. Service by other instances of the data centre is added with {@link ServiceAccounting.charge}.
 */
export class ServiceAccounting {
  private readonly accounts = new Map<string, TeamAccount>()
  private readonly backlogged = new Set<string>()
  private readonly memoryTokens: number
  /** Grows with service, which decays all accounts relative to new service without updating each of them. */
  private scale = 1
  /** Largest virtual time reached so far; the start value for a team that arrives when no team is backlogged. */
  private maximumVirtualTime = 0
  private activeService = 0
  private activeWeight = 0
  private chargesUntilCount = 0

  constructor (options: ServiceAccountingOptions = {}) {
    this.memoryTokens = options.memoryTokens ?? 300_000
  }

  /** Sets the weight of a team. Its recorded service does not change. */
  setWeight (team: string, weight: number): void {
    const account = this.account(team)
    // The virtual time stays as it is, so that the team's lead or lag is not multiplied by the change of weight.
    account.weight = weight
  }

  /** Records that a request of the team was queued. */
  arrived (team: string): void {
    const account = this.account(team)
    if (account.waiting === 0) {
      // Otherwise a team that was idle would return with a low virtual time and be served alone until it had caught up.
      account.virtualTime = Math.max(account.virtualTime, this.minimumVirtualTime())
      this.backlogged.add(team)
    }
    account.waiting += 1
  }

  /** Records that a request of the team left the queue. */
  left (team: string): void {
    const account = this.account(team)
    account.waiting = Math.max(0, account.waiting - 1)
    if (account.waiting === 0) this.backlogged.delete(team)
  }

  /** Charges service to a team; a negative number of tokens corrects an earlier charge. */
  charge (team: string, tokens: number): void {
    const account = this.account(team)
    account.virtualTime += tokens / account.weight
    this.maximumVirtualTime = Math.max(this.maximumVirtualTime, account.virtualTime)
    this.chargesUntilCount -= 1
    if (tokens > 0) this.growScale(tokens)
    account.recent = Math.max(0, account.recent + tokens * this.scale)
  }

  /** @returns the team's weight */
  weight (team: string): number {
    return this.account(team).weight
  }

  /** @returns the team's virtual time; the team with the lowest one is served first */
  virtualTime (team: string): number {
    return this.account(team).virtualTime
  }

  /** @returns the team's recent service divided by its weighted share of the backlogged teams' recent service; 1 is fair */
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
   * Compares a team with all recently served teams. A team that floods the queue is often the only backlogged one, since the
   * others are served at once, so {@link ServiceAccounting.shareUsed} does not show that it is over its share.
   *
   * @returns the team's recent service divided by its weighted share of all teams' recent service; 1 is fair
   */
  shareUsedAmongActive (team: string): number {
    if (this.chargesUntilCount <= 0) this.countActive()
    if (this.activeService <= 0) return 1
    const account = this.account(team)
    return (account.recent / this.activeService) / (account.weight / this.activeWeight)
  }

  /** Recomputes the totals over all teams. Its linear cost is spread over many charges. */
  private countActive (): void {
    this.chargesUntilCount = CHARGES_PER_COUNT
    this.activeService = 0
    this.activeWeight = 0
    for (const account of this.accounts.values()) this.activeService += account.recent
    for (const account of this.accounts.values()) {
      if (account.recent > this.activeService * MINIMUM_ACTIVE_SHARE) this.activeWeight += account.weight
    }
  }

  /** @returns the lowest virtual time of the backlogged teams, or the largest one reached if no team is backlogged */
  private minimumVirtualTime (): number {
    let minimum = Infinity
    for (const team of this.backlogged) minimum = Math.min(minimum, this.account(team).virtualTime)
    return minimum === Infinity ? this.maximumVirtualTime : minimum
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
