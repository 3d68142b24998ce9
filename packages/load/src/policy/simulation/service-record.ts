/** Tokens served to each team while it had waiting requests, recorded in windows of five samples. */

/** Tokens of one team while it was backlogged, with its fair share. */
export interface BackloggedShare {
  /** Weighted tokens served to the team while it was backlogged. */
  readonly tokens: number
  /** The team's share, by team weight, of the tokens served to all backlogged teams in the same windows. */
  readonly fairTokens: number
}

interface TeamRecord {
  waiting: number
  /** Whether the team had waiting requests at every sample of the window so far. */
  waitedThroughout: boolean
  tokensInWindow: number
  tokens: number
  fairTokens: number
  total: number
}

/** Tokens served in one window, for the plot of tokens over time. */
export interface ShareSample {
  readonly at: number
  /** Weighted tokens by team in the window that ended at `at`. */
  readonly tokens: ReadonlyMap<string, number>
}

const SAMPLES_PER_WINDOW = 5

/** Records served tokens; a team is backlogged in a window when it has waiting requests at each sample of the window. */
export class ServiceRecord {
  readonly windows: ShareSample[] = []
  /** Weighted tokens served to all teams. */
  total = 0
  private readonly teams = new Map<string, TeamRecord>()
  private samples = 0

  /** @param weights - weights of the teams; 1 for a team without an entry */
  constructor (private readonly weights: ReadonlyMap<string, number>) {}

  /** Changes the number of waiting requests of a team; `change` is negative when requests stop waiting. */
  addWaiting (team: string, change: number): void {
    this.team(team).waiting += change
  }

  /** Records weighted tokens served to a team. */
  served (team: string, tokens: number): void {
    const record = this.team(team)
    record.tokensInWindow += tokens
    record.total += tokens
    this.total += tokens
  }

  /** Takes a sample of the teams with waiting requests; each fifth sample ends a window. */
  sample (now: number): void {
    for (const record of this.teams.values()) if (record.waiting === 0) record.waitedThroughout = false
    this.samples += 1
    if (this.samples % SAMPLES_PER_WINDOW === 0) this.endWindow(now)
  }

  /** @returns the tokens and the fair share of each team that was backlogged in some window */
  backlogged (): Map<string, BackloggedShare> {
    const shares = new Map<string, BackloggedShare>()
    for (const [team, { tokens, fairTokens }] of this.teams) {
      if (fairTokens > 0) shares.set(team, { tokens, fairTokens })
    }
    return shares
  }

  /** @returns the weighted tokens served to a team in the whole run */
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
