/**
 * Authenticates callers by API key. The settings hold only the SHA-256 of a key, so the duration of a lookup by hash reveals
 * nothing about the key.
 */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { OperatorSettings, TeamId } from '@limpetwinch/core'

/** Teams whose settings list the caller's key, with the role that each team gives to the key. */
export type CallerTeams = ReadonlyMap<TeamId, 'caller' | 'owner'>

/**
 * Resolves an API key to its teams. The index by key hash is rebuilt whenever the settings have changed.
 *
 * Several teams may list the same hash, and the key then belongs to all of them. If only the last team counted, an owner
 * who copied the hash of another team's key into the settings of the own team would take over the callers of that team.
 */
export class Authentication {
  private settings: OperatorSettings | undefined
  private index = new Map<string, Map<TeamId, 'caller' | 'owner'>>()

  /**
   * @param header - the `Authorization` header
   * @param settings - the operator settings in force
   * @returns the teams of the caller, or the error `unauthorized`
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
