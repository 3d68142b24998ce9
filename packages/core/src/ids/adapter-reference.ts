/** Parses and formats references to adapters, written as `team/adapter@version`. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { parseName } from './ids.js'
import type { AdapterName, AdapterVersion, FencingToken, LoadedName, TeamId } from './ids.js'

/** One version of an adapter. */
export interface AdapterReference {
  readonly team: TeamId
  readonly adapter: AdapterName
  readonly version: AdapterVersion
}

/** The `model` of a caller's request. Without a version, the name means the adapter's current version. */
export interface ModelName {
  readonly team: TeamId
  readonly adapter: AdapterName
  readonly version: AdapterVersion | undefined
}

/**
 * Parses the `model` of a caller's request.
 *
 * @param text - `team/adapter` or `team/adapter@version`
 * @returns the team, adapter and version, or the error `invalid-model-name`
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
 * Formats an adapter reference.
 *
 * @param reference - the adapter and its version
 * @returns `team/adapter@version`
 */
export function formatAdapter (reference: AdapterReference): string {
  return `${reference.team}/${reference.adapter}@${reference.version}`
}

/**
 * Builds the name under which an adapter is loaded on an engine.
 *
 * An engine that ignores fencing tokens would carry out a late unload order of an earlier owner. With the token in the
 * name, that order names an adapter that no request of the current owner uses. The current owner's own unload order can arrive late
 * as well, if the response to the order was lost. The generation in the name protects the owner's later requests from that order.
 *
 * @param reference - the adapter to load
 * @param token - the owner's fencing token if the engine ignores fencing, else undefined
 * @param generation - number of earlier names of this adapter, with the same token, that the owner may no longer use
 * @returns the name to load the adapter under
 */
export function loadedNameOf (reference: AdapterReference, token: FencingToken | undefined, generation = 0): LoadedName {
  const plain = formatAdapter(reference)
  if (token === undefined) return plain as LoadedName
  return (generation === 0 ? `${plain}~${token}` : `${plain}~${token}.${generation}`) as LoadedName
}

/**
 * Splits the name of a loaded adapter.
 *
 * @param name - a name reported by an engine
 * @returns the adapter `team/adapter@version` and the token in the name, if any
 */
export function splitLoadedName (name: string): { adapter: string, token: FencingToken | undefined } {
  const separator = name.lastIndexOf('~')
  if (separator < 0) return { adapter: name, token: undefined }
  const [token] = name.slice(separator + 1).split('.')
  return { adapter: name.slice(0, separator), token: Number(token) as FencingToken }
}
