/** Which team a key belongs to. Keys are kept only as SHA-256, so a look-up by hash tells nothing by its time. */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { OperatorSettings, TeamId } from '@limpetwinch/core'

/** Who calls. */
export interface Caller {
  readonly team: TeamId
  readonly role: 'caller' | 'owner'
}

/** Looks keys up; the index is made anew when settings have changed. */
export class Authentication {
  private settings: OperatorSettings | undefined
  private index = new Map<string, Caller>()

  /**
   * @param header - the `Authorization` header
   * @param settings - what is in force
   * @returns the caller, or `unauthorized`
   */
  check (header: string | undefined, settings: OperatorSettings): Result<Caller, LimpetwinchError> {
    const key = /^Bearer (\S+)$/i.exec(header ?? '')?.[1]
    const caller = key === undefined ? undefined : this.indexOf(settings).get(hashOf(key))
    return caller === undefined ? err(new LimpetwinchError('unauthorized')) : ok(caller)
  }

  private indexOf (settings: OperatorSettings): Map<string, Caller> {
    if (this.settings === settings) return this.index
    this.settings = settings
    this.index = new Map()
    for (const [team, teamSettings] of settings.teams) {
      for (const key of teamSettings.keys) this.index.set(key.sha256, { team, role: key.role })
    }
    return this.index
  }
}

/** @returns the SHA-256 of a key in hex */
export function hashOf (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
