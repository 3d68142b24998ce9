/** Who may reach which settings. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError, parseSettingsPath, teamOfPath } from '@limpetwinch/core'
import type { OperatorSettings, SettingsPath, TeamId } from '@limpetwinch/core'

/** Who asks, and what that reaches. */
export interface SettingsPrincipal {
  /** As it stands in the history. */
  readonly author: string
  readonly reaches: (path: SettingsPath) => boolean
}

/**
 * Tells who asks.
 *
 * @param header - the `Authorization` header
 * @param administratorKeySha256 - hash of the administrators' key
 * @param settings - what is in force, for the keys of teams' owners
 * @returns the reader, `unauthorized`, or `forbidden` for a key that is no owner's
 */
export function principalOf (header: string | undefined, administratorKeySha256: string, settings: OperatorSettings): Result<SettingsPrincipal, LimpetwinchError> {
  const key = /^Bearer (\S+)$/i.exec(header ?? '')?.[1]
  if (key === undefined) return err(new LimpetwinchError('unauthorized'))
  const hash = createHash('sha256').update(key).digest()
  if (sameHash(hash, administratorKeySha256)) return ok({ author: 'administrator', reaches: () => true })
  const holders = holdersOfKey(hash, settings)
  if (holders.length === 0) return err(new LimpetwinchError('unauthorized'))
  const owned = holders.filter((holder) => holder.role === 'owner')
  if (owned.length === 0) return err(new LimpetwinchError('forbidden', { what: 'the settings' }))
  const teams = new Set(owned.map((holder) => holder.team))
  return ok({
    author: owned.map((holder) => `${holder.team}/${holder.label}`).join(' '),
    reaches: (path) => {
      const team = teamOfPath(path)
      return team !== undefined && teams.has(team)
    }
  })
}

/**
 * Takes the path out of a request's target, before anything has decoded or shortened it.
 *
 * An encoded slash, a dot segment or a doubled slash would let the check of the key and the store see two different
 * paths; nothing that needs decoding is a path of settings, so that all of it is refused.
 *
 * @param target - the request's target as it came
 * @param prefix - what stands before the path
 * @returns the path, or `unknown-settings-path`
 */
export function pathOfTarget (target: string, prefix: string): Result<SettingsPath, LimpetwinchError> {
  const [path = ''] = target.split('?', 1)
  if (!path.startsWith(prefix)) return err(new LimpetwinchError('unknown-settings-path', { path: path.slice(0, 120) }))
  return parseSettingsPath(path.slice(prefix.length))
}

interface Holder {
  readonly team: TeamId
  readonly label: string
  readonly role: 'caller' | 'owner'
}

/** Every key is compared, in constant time each: how long it takes tells neither the key nor the team. */
function holdersOfKey (hash: Buffer, settings: OperatorSettings): Holder[] {
  const holders: Holder[] = []
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
