/** Branded id types: an id of one kind cannot be assigned to an id of another kind. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { uuidv7 } from 'uuidv7'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'

declare const brand: unique symbol

/** A value with a compile-time tag, so that the compiler rejects it where a differently tagged value of the same type is expected. */
export type Branded<Value, Name extends string> = Value & { readonly [brand]: Name }

/** Identifies one run of an instance's process. A later process at the same address has another id. */
export type InstanceId = Branded<string, 'InstanceId'>
/** A data centre, which has its own instances and endpoints. */
export type DataCentreId = Branded<string, 'DataCentreId'>
/** A team. Adapters belong to teams. Limits apply to teams, and fair queueing divides the use of engines between teams. */
export type TeamId = Branded<string, 'TeamId'>
/** An endpoint: a model engine or an endpoint of a plain service. */
export type EndpointId = Branded<string, 'EndpointId'>
/** The name of an adapter, unique within its team. */
export type AdapterName = Branded<string, 'AdapterName'>
/** One version of an adapter. */
export type AdapterVersion = Branded<string, 'AdapterVersion'>
/** The name under which an adapter is loaded on an engine: `team/adapter@version`, followed by `~token` if the engine ignores fencing. */
export type LoadedName = Branded<string, 'LoadedName'>
/** The id of one request of a caller: a UUIDv7, which contains the time at which the id was created. */
export type RequestId = Branded<string, 'RequestId'>
/** A key chosen by the caller for a request that must not run twice. */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>
/** An increasing number that orders the successive owners of one endpoint. */
export type FencingToken = Branded<number, 'FencingToken'>
/** An increasing number that orders the accepted states of one settings document. */
export type Revision = Branded<number, 'Revision'>
/** The path of a settings document, such as `/teams/history`. */
export type SettingsPath = Branded<string, 'SettingsPath'>
/** The name of a class of requests that share one priority, such as `interactive`. */
export type PriorityClass = Branded<string, 'PriorityClass'>

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,63}$/i

/**
 * Validates a name from untrusted input.
 *
 * @param kind - what the text names, used in the error message
 * @param text - the text to check
 * @returns the branded name, or the error `invalid-name`
 */
export function parseName<Name extends string> (kind: string, text: string): Result<Branded<string, Name>, LimpetwinchError> {
  if (!NAME_PATTERN.test(text)) {
    return err(new LimpetwinchError('invalid-name', { kind, text: text.slice(0, 80) }))
  }
  return ok(text as Branded<string, Name>)
}

/** @returns a new request id that contains the current time */
export function newRequestId (): RequestId {
  return uuidv7() as RequestId
}

/** @returns a new id for one run of an instance */
export function newInstanceId (): InstanceId {
  return uuidv7() as InstanceId
}
