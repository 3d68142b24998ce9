/** Counts adapter loads as a service of their own, so that a team with many rarely used adapters cannot delay the loads of other teams. */
import { ServiceAccounting } from '@limpetwinch/decisions'

/** Number of loads after which earlier loads have little influence. */
const MEMORY_LOADS = 200

/** Counts the loads of each team on the engines of this instance. */
export class LoadAccounting {
  private readonly ledger = new ServiceAccounting({ memoryTokens: MEMORY_LOADS })
  private readonly waiting = new Map<string, string>()

  /** Sets a team's weight. */
  setWeight (team: string, weight: number): void {
    this.ledger.setWeight(team, weight)
  }

  /**
   * Updates which loads are pending on one engine.
   *
   * @param endpoint - the engine
   * @param teams - the team of each adapter that waits to be loaded on the engine
   */
  setWaitingLoads (endpoint: string, teams: ReadonlyMap<string, string>): void {
    const prefix = `${endpoint} `
    for (const [key, team] of this.waiting) {
      if (!key.startsWith(prefix) || teams.has(key.slice(prefix.length))) continue
      this.waiting.delete(key)
      this.ledger.left(team)
    }
    for (const [adapter, team] of teams) {
      if (this.waiting.has(prefix + adapter)) continue
      this.waiting.set(prefix + adapter, team)
      this.ledger.arrived(team)
    }
  }

  /** Counts one load. */
  loaded (team: string): void {
    this.ledger.charge(team, 1)
  }

  /** @returns a team's loads relative to its fair share; 1 is fair */
  shareUsed (team: string): number {
    return this.ledger.shareUsed(team)
  }
}
