/** Who was served how much while who waited, second by second. */

/** Service of one team while it was backlogged. */
export interface BackloggedShare {
  /** Tokens served to the team while it was backlogged, weighed. */
  readonly tokens: number
  /** Its weighted share of what all backlogged teams had at those times. */
  readonly fairTokens: number
}

interface TeamRecord {
  waiting: number
  /** Whether it waited at every sample of the window so far. */
  waitedThroughout: boolean
  tokensInWindow: number
  tokens: number
  fairTokens: number
  total: number
}

/** One point of the plot of shares over time. */
export interface ShareSample {
  readonly at: number
  /** Tokens by team in the window that ended then. */
  readonly tokens: ReadonlyMap<string, number>
}

const SAMPLES_PER_WINDOW = 5

/** A team is backlogged in a window when it had waiting requests at each sample in it. */
export class ServiceRecord {
  readonly windows: ShareSample[] = []
  /** All tokens served, weighed. */
  total = 0
  private readonly teams = new Map<string, TeamRecord>()
  private samples = 0

  /** @param weights - weights between teams; 1 for a team not named */
  constructor (private readonly weights: ReadonlyMap<string, number>) {}

  /** Counts requests that begin or cease to wait. */
  addWaiting (team: string, change: number): void {
    this.team(team).waiting += change
  }

  /** Counts tokens served. */
  served (team: string, tokens: number): void {
    const record = this.team(team)
    record.tokensInWindow += tokens
    record.total += tokens
    this.total += tokens
  }

  /** Looks at who waits; each fifth look ends a window. */
  sample (now: number): void {
    for (const record of this.teams.values()) if (record.waiting === 0) record.waitedThroughout = false
    this.samples += 1
    if (this.samples % SAMPLES_PER_WINDOW === 0) this.endWindow(now)
  }

  /** @returns service and fair service of each team that was backlogged at some time */
  backlogged (): Map<string, BackloggedShare> {
    const shares = new Map<string, BackloggedShare>()
    for (const [team, { tokens, fairTokens }] of this.teams) {
      if (fairTokens > 0) shares.set(team, { tokens, fairTokens })
    }
    return shares
  }

  /** @returns all tokens served to a team, weighed */
  tokensOf (team: string): number {
    return this.team(team).total
  }

  private endWindow (now: number): void {
    const backlogged = [...this.teams].filter(([, record]) => record.waitedThroughout)
    let tokens = 0
    let weights = 0
    for (const [team, record] of backlogged) {
      tokens += record.tokensInWindow
      weights += this.weights.get(team) ?? 1
    }
    for (const [team, record] of backlogged) {
      record.tokens += record.tokensInWindow
      record.fairTokens += tokens * (this.weights.get(team) ?? 1) / weights
    }
    this.windows.push({ at: now, tokens: new Map([...this.teams].map(([team, record]) => [team, record.tokensInWindow])) })
    for (const record of this.teams.values()) {
      record.tokensInWindow = 0
      record.waitedThroughout = record.waiting > 0
    }
  }

  private team (team: string): TeamRecord {
    const existing = this.teams.get(team)
    if (existing !== undefined) return existing
    const created = { waiting: 0, waitedThroughout: false, tokensInWindow: 0, tokens: 0, fairTokens: 0, total: 0 }
    this.teams.set(team, created)
    return created
  }
}
