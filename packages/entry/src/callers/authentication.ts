/** Which team a key belongs to. Keys are kept only as SHA-256, so a look-up by hash tells nothing by its time. */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { OperatorSettings, TeamId } from '@limpetwinch/core'

/** Who calls: the teams whose settings hold the key, with the role that each gives it. */
export type CallerTeams = ReadonlyMap<TeamId, 'caller' | 'owner'>

/**
 * Looks keys up; the index is made anew when settings have changed.
 *
 * The same hash may stand in several teams. Were the last one to win, an owner who puts another team's hash into the
 * own subtree would take that team's callers away from it; so a key reaches every team that holds it.
 */
export class Authentication {
  private settings: OperatorSettings | undefined
  private index = new Map<string, Map<TeamId, 'caller' | 'owner'>>()

  /**
   * @param header - the `Authorization` header
   * @param settings - what is in force
   * @returns the caller's teams, or `unauthorized`
   */
  check (header: string | undefined, settings: OperatorSettings): Result<CallerTeams, LimpetwinchError> {
    const key = /^Bearer (\S+)$/i.exec(header ?? '')?.[1]
    const teams = key === undefined ? undefined : this.indexOf(settings).get(hashOf(key))
    return teams === undefined ? err(new LimpetwinchError('unauthorized')) : ok(teams)
  }

  private indexOf (settings: OperatorSettings): Map<string, Map<TeamId, 'caller' | 'owner'>> {
    if (this.settings === settings) return this.index
    this.settings = settings
    this.index = new Map()
    for (const [team, teamSettings] of settings.teams) {
      for (const key of teamSettings.keys) {
        const teams = this.index.get(key.sha256) ?? new Map<TeamId, 'caller' | 'owner'>()
        teams.set(team, key.role)
        this.index.set(key.sha256, teams)
      }
    }
    return this.index
  }
}

/** @returns the SHA-256 of a key in hex */
export function hashOf (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
