/** Records how much service each team got, in tokens, so that fair queues can divide it between the teams. */

/** Options of {@link ServiceAccounting}. */
export interface ServiceAccountingOptions {
  /** Number of tokens served to all teams together after which an earlier token counts 1/e as much as a new one. */
  readonly memoryTokens?: number
}

interface TeamAccount {
  /** Teams get service in proportion to their weights. */
  weight: number
  /** Service charged to the team, in tokens, divided by its weight; raised when the team becomes backlogged again after being idle. */
  virtualTime: number
  /** Recent service in tokens, multiplied by the growing `scale`. */
  recent: number
  /** Number of queued requests of the team in all queues that share this accounting. */
  waiting: number
}

/**
 * When `scale` reaches this value, all accounts are divided by `scale`, which restarts at 1. The value is well below the
 * largest floating-point number, so that sums do not overflow.
 */
const MAXIMUM_SCALE = 1e100
/** Number of charges between two recounts of the active teams; a recount visits every team, so it is not done at each charge. */
const CHARGES_PER_COUNT = 100
/** A team with less than this part of all teams' recent service counts as idle: its weight does not reduce the fair share of the others. */
const MINIMUM_ACTIVE_SHARE = 1e-3

/**
 * Records the service that each team received, in tokens, in two forms: a virtual time for fair queueing, and a decayed sum that shows
 * which teams got more than their fair share. All queues of an instance share one accounting, so that a team does not get a full
 * share on each engine that it uses. Service by other instances of the data centre is added with {@link ServiceAccounting.charge}.
 */
export class ServiceAccounting {
  private readonly accounts = new Map<string, TeamAccount>()
  private readonly backlogged = new Set<string>()
  private readonly memoryTokens: number
  /** Factor on new service when it is added to an account. It grows with service, so earlier service decays without an update of each account. */
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
    // The virtual time stays as it is, so that the team's lead or lag behind other teams is not multiplied by the change of weight.
    account.weight = weight
  }

  /** Records that a request of the team was queued. */
  arrived (team: string): void {
    const account = this.account(team)
    if (account.waiting === 0) {
      // Without this, a team that was idle would return with a low virtual time and be served alone until it had caught up.
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

  /**
   * Compares the recent service of a team, in tokens, with its fair share. The fair share is a part of the recent service of this
   * team and all teams that have requests queued, in proportion to the team's weight.
   *
   * @returns service divided by fair share: 1 is fair, above 1 the team had more than its share
   */
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
   * @returns recent service divided by fair share, where the fair share is a part of all teams' recent service in proportion to the
   *   team's weight; 1 is fair
   */
  shareUsedAmongActive (team: string): number {
    if (this.chargesUntilCount <= 0) this.countActive()
    if (this.activeService <= 0) return 1
    const account = this.account(team)
    return (account.recent / this.activeService) / (account.weight / this.activeWeight)
  }

  /** Recomputes the total recent service and the weight of the active teams. Visits every team, so it runs only once in many charges. */
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
