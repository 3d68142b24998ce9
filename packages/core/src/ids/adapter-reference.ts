/** How an adapter and its version are written: `team/adapter@version`. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { parseName } from './ids.js'
import type { AdapterName, AdapterVersion, FencingToken, LoadedName, TeamId } from './ids.js'

/** An adapter with its version fixed. */
export interface AdapterReference {
  readonly team: TeamId
  readonly adapter: AdapterName
  readonly version: AdapterVersion
}

/** What a caller wrote as `model`: the version is absent when the current one is meant. */
export interface ModelName {
  readonly team: TeamId
  readonly adapter: AdapterName
  readonly version: AdapterVersion | undefined
}

/**
 * Parses a caller's `model`.
 *
 * @param text - `team/adapter` or `team/adapter@version`
 * @returns its parts, or `invalid-model-name`
 */
export function parseModelName (text: string): Result<ModelName, LimpetwinchError> {
  const match = /^([^/@]+)\/([^/@]+)(?:@([^/@]+))?$/.exec(text)
  if (match === null) return err(new LimpetwinchError('invalid-model-name', { text: text.slice(0, 80) }))
  const [, teamText = '', adapterText = '', versionText] = match
  return parseName<'TeamId'>('team', teamText).andThen((team) =>
    parseName<'AdapterName'>('adapter', adapterText).andThen((adapter) => {
      if (versionText === undefined) return ok({ team, adapter, version: undefined })
      return parseName<'AdapterVersion'>('version', versionText).map((version) => ({ team, adapter, version }))
    }))
}

/**
 * @param reference - an adapter with its version
 * @returns `team/adapter@version`
 */
export function formatAdapter (reference: AdapterReference): string {
  return `${reference.team}/${reference.adapter}@${reference.version}`
}

/**
 * Names an adapter on an engine.
 *
 * An engine that ignores fencing tokens would carry out a late unload by an earlier owner. With the token in the
 * name, that order names an adapter which the present owner's requests do not use. In the same way the generation
 * keeps an owner's requests from a late unload of its own whose answer was lost.
 *
 * @param reference - the adapter to load
 * @param token - the owner's token where the engine ignores fencing, else undefined
 * @param generation - how many names of this adapter the owner may not use any more, with the token
 * @returns the name to load it under
 */
export function loadedNameOf (reference: AdapterReference, token: FencingToken | undefined, generation = 0): LoadedName {
  const plain = formatAdapter(reference)
  if (token === undefined) return plain as LoadedName
  return (generation === 0 ? `${plain}~${token}` : `${plain}~${token}.${generation}`) as LoadedName
}

/**
 * @param name - a name reported by an engine
 * @returns the adapter `team/adapter@version` and the token in the name, if any
 */
export function splitLoadedName (name: string): { adapter: string, token: FencingToken | undefined } {
  const at = name.lastIndexOf('~')
  if (at < 0) return { adapter: name, token: undefined }
  const [token] = name.slice(at + 1).split('.')
  return { adapter: name.slice(0, at), token: Number(token) as FencingToken }
}
