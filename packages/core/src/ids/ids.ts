/** Branded ids: two ids of different kinds are never assignable to each other. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { uuidv7 } from 'uuidv7'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'

declare const brand: unique symbol

/** A value that the compiler keeps apart from others of the same shape. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name }

/** One run of an entry instance; a replacement at the same address has another id. */
export type InstanceId = Branded<string, 'InstanceId'>
/** A data centre with its own instances and endpoints. */
export type DataCentreId = Branded<string, 'DataCentreId'>
/** A team: the unit of ownership of adapters, of limits and of fairness. */
export type TeamId = Branded<string, 'TeamId'>
/** A model engine or a plain service. */
export type EndpointId = Branded<string, 'EndpointId'>
/** An adapter's name inside its team. */
export type AdapterName = Branded<string, 'AdapterName'>
/** One version of an adapter. */
export type AdapterVersion = Branded<string, 'AdapterVersion'>
/** The name under which an engine holds an adapter: `team/adapter@version`, with `~token` where engines ignore fencing. */
export type LoadedName = Branded<string, 'LoadedName'>
/** One request of a caller; a UUIDv7, so that it tells when it was made. */
export type RequestId = Branded<string, 'RequestId'>
/** A caller's own key for a request that may not run twice. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>
/** A growing number that orders the owners of one endpoint. */
export type FencingToken = Branded<number, 'FencingToken'>
/** A growing number that orders the accepted states of one settings subtree. */
export type Revision = Branded<number, 'Revision'>
/** A path of settings, such as `/teams/history`. */
export type SettingsPath = Branded<string, 'SettingsPath'>
/** A class of requests with one priority, such as `interactive`. */
export type PriorityClass = Branded<string, 'PriorityClass'>

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,63}$/i

/**
 * Checks a name that comes from outside.
 *
 * @param kind - what the name stands for, said in the error
 * @param text - the text to check
 * @returns the branded name, or `invalid-name`
 */
export function parseName<Name extends string> (kind: string, text: string): Result<Branded<string, Name>, LimpetwinchError> {
  if (!NAME_PATTERN.test(text)) {
    return err(new LimpetwinchError('invalid-name', { kind, text: text.slice(0, 80) }))
  }
  return ok(text as Branded<string, Name>)
}

/** @returns a new request id that carries the present time */
export function newRequestId (): RequestId {
  return uuidv7() as RequestId
}

/** @returns an id for one run of an instance */
export function newInstanceId (): InstanceId {
  return uuidv7() as InstanceId
}
