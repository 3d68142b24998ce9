/**
 * Authentication and authorization of clients of the settings routes. The administrators' key gives access to all settings
 * paths, the key of a team's owner only to the paths of that team.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError, parseSettingsPath, teamOfPath } from '@limpetwinch/core'
import type { OperatorSettings, SettingsPath, TeamId } from '@limpetwinch/core'

/** The authenticated client of a settings request, and the settings paths that it may access. */
export interface SettingsPrincipal {
  /** Name under which the history records changes by this client. */
  readonly author: string
  /** Returns whether the client may read and change a path. */
  readonly mayAccess: (path: SettingsPath) => boolean
}

/**
 * Authenticates the client of a settings request.
 *
 * @param header - the `Authorization` header
 * @param administratorKeySha256 - the SHA-256 of the administrators' key, in hex
 * @param settings - the settings in force, which contain the keys of the teams' owners
 * @returns the client, the error `unauthorized`, or the error `forbidden` for a key without the role of an owner
 */
export function principalOf (
  header: string | undefined,
  administratorKeySha256: string,
  settings: OperatorSettings
): Result<SettingsPrincipal, LimpetwinchError> {
  const key = /^Bearer (\S+)$/i.exec(header ?? '')?.[1]
  if (key === undefined) return err(new LimpetwinchError('unauthorized'))
  const hash = createHash('sha256').update(key).digest()
  if (sameHash(hash, administratorKeySha256)) return ok({ author: 'administrator', mayAccess: () => true })
  const holders = holdersOfKey(hash, settings)
  if (holders.length === 0) return err(new LimpetwinchError('unauthorized'))
  const owned = holders.filter((holder) => holder.role === 'owner')
  if (owned.length === 0) return err(new LimpetwinchError('forbidden', { what: 'the settings' }))
  const teams = new Set(owned.map((holder) => holder.team))
  return ok({
    author: owned.map((holder) => `${holder.team}/${holder.label}`).join(' '),
    mayAccess: (path) => {
      const team = teamOfPath(path)
      return team !== undefined && teams.has(team)
    }
  })
}

/**
 * Extracts the settings path from the raw target of a request, before any decoding or normalization.
 *
 * An encoded slash, a dot segment or a doubled slash could make the authorization check and the store see two different
 * paths. No settings path needs decoding, so all such targets are rejected.
 *
 * @param target - the target of the request as received
 * @param prefix - the part of the target before the settings path
 * @returns the path, or the error `unknown-settings-path`
 */
export function pathOfTarget (target: string, prefix: string): Result<SettingsPath, LimpetwinchError> {
  const [path = ''] = target.split('?', 1)
  if (!path.startsWith(prefix)) return err(new LimpetwinchError('unknown-settings-path', { path: path.slice(0, 120) }))
  return parseSettingsPath(path.slice(prefix.length))
}

interface KeyHolder {
  readonly team: TeamId
  readonly label: string
  readonly role: 'caller' | 'owner'
}

/** Compares the hash with every key, each in constant time, so that the duration reveals neither the key nor its team. */
function holdersOfKey (hash: Buffer, settings: OperatorSettings): KeyHolder[] {
  const holders: KeyHolder[] = []
  for (const [team, { keys }] of settings.teams) {
    for (const { sha256, label, role } of keys) {
      if (sameHash(hash, sha256)) holders.push({ team, label, role })
    }
  }
  return holders
}

function sameHash (hash: Buffer, hex: string): boolean {
  const other = Buffer.from(hex, 'hex')
  return other.length === hash.length && timingSafeEqual(hash, other)
}
