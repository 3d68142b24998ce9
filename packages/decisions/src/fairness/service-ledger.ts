/** What service each team has had: virtual time for fairness, and a decayed sum that says who is over its share. */

/** Memory of {@link ServiceLedger}. */
export interface ServiceLedgerOptions {
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

const LARGEST_SCALE = 1e100

/**
 * Accounts of teams, shared by all queues of one instance; service by other instances of the data centre comes in
 * through `charge`. One ledger for several queues keeps a team from having a full share on each engine that it uses.
 */
export class ServiceLedger {
  private readonly accounts = new Map<string, TeamAccount>()
  private readonly backlogged = new Set<string>()
  private readonly memoryTokens: number
  /** Grows with service, in place of shrinking every account. */
  private scale = 1
  /** Virtual time of the team served last, for teams that arrive when nobody waits. */
  private lastVirtualTime = 0

  constructor (options: ServiceLedgerOptions = {}) {
    this.memoryTokens = options.memoryTokens ?? 100_000
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
      account.virtualTime = Math.max(account.virtualTime, this.floor())
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
    if (tokens > 0) this.grow(tokens)
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

  /** @returns the least virtual time of the teams that wait, else that of the service last given */
  private floor (): number {
    let least = Infinity
    for (const team of this.backlogged) least = Math.min(least, this.account(team).virtualTime)
    return least === Infinity ? this.lastVirtualTime : least
  }

  private grow (tokens: number): void {
    this.scale *= Math.exp(tokens / this.memoryTokens)
    if (this.scale < LARGEST_SCALE) return
    for (const account of this.accounts.values()) account.recent /= this.scale
    this.scale = 1
  }

  private account (team: string): TeamAccount {
    const existing = this.accounts.get(team)
    if (existing !== undefined) return existing
    const created = { weight: 1, virtualTime: 0, recent: 0, waiting: 0 }
    this.accounts.set(team, created)
    return created
  }
}
