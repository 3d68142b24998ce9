/**
 * Counts how many adapter loads each team has caused, separately from the tokens that its requests used. A team that has had
 * more than its fair share of loads comes later, so that a team with many rarely used adapters cannot delay the loads of
 * other teams.
 */
import { ServiceAccounting } from '@limpetwinch/decisions'

/** Number of loads, of all teams together, after which earlier loads have little influence on the shares. */
const MEMORY_LOADS = 200

/** Counts the adapter loads of each team on the engines that this instance owns. */
export class LoadAccounting {
  private readonly ledger = new ServiceAccounting({ memoryTokens: MEMORY_LOADS })
  private readonly waiting = new Map<string, string>()

  /** Sets a team's weight, which sets the team's fair share of the loads relative to other teams. */
  setWeight (team: string, weight: number): void {
    this.ledger.setWeight(team, weight)
  }

  /**
   * Updates which loads are pending on one engine. Only teams with pending loads compete for a share.
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

  /** Counts one completed load of a team's adapter. */
  loaded (team: string): void {
    this.ledger.charge(team, 1)
  }

  /** @returns a team's recent loads relative to the team's fair share among the teams with pending loads; 1 is fair */
  shareUsed (team: string): number {
    return this.ledger.shareUsed(team)
  }
}
