/** A model engine as limpetwinch sees it; another deployment's wire form is one more subclass. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { AdapterReference } from '../ids/adapter-reference.js'
import type { FencingToken, LoadedName, RequestId } from '../ids/ids.js'

/** What an engine is asked to generate. */
export interface GenerateRequest {
  readonly requestId: RequestId
  /** The loaded adapter, or undefined for the base model alone. */
  readonly adapter: LoadedName | undefined
  readonly prompt: string
  readonly maximumTokens: number
  /** Higher goes first. */
  readonly priority: number
  readonly temperature?: number
  readonly seed?: number
}

/** One part of an answer. Positions count tokens from 0, so that late, doubled and missing parts are seen. */
export interface GeneratedPart {
  readonly position: number
  readonly text: string
}

/** The end of an answer. */
export interface GenerationEnd {
  readonly finishReason: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** The adapter that the engine says it used. */
  readonly adapter: string | undefined
}

/** What a stream yields: parts, then one end. */
export type GenerationEvent = { readonly kind: 'part', readonly part: GeneratedPart } | { readonly kind: 'end', readonly end: GenerationEnd }

/** An order carries the owner's fencing token; some engines refuse an old one, others ignore it. */
export interface AdapterOrder {
  readonly name: LoadedName
  readonly token: FencingToken
}

/** What an engine says of itself, later than it was true. */
export interface EngineReport {
  /** Wall time at which this was true, milliseconds. */
  readonly madeAt: number
  /** Changes when the engine was restarted cold. */
  readonly engineRun: string
  readonly baseModel: string
  readonly role: string
  readonly slots: number
  readonly loaded: readonly LoadedName[]
  readonly running: readonly { readonly requestId: RequestId, readonly adapter?: LoadedName | undefined }[]
  readonly queued: number
  /** How many sequences one step can hold. */
  readonly batchCapacity: number
  /** Mean share of a step that was used since the report before, 0 to 1. */
  readonly batchFill: number
}

/** One cache event; sequence numbers show gaps. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  /** Hash of a prompt prefix. */
  readonly prefix: string
}

/**
 * A model engine.
 *
 * Errors: `endpoint-refused`, `adapter-not-loaded` (outcome `not_run`), `endpoint-failed` (outcome `unknown`, or
 * `not_run` when no connection could be made), `stale-fencing-token`, `no-free-slot`, `load-failed`. The details of an
 * `endpoint-failed` hold `heard: false` where the way failed and the engine itself said nothing: its run may go on.
 */
export abstract class EngineClient {
  /** Starts a request; no attempt is ever repeated inside. An error is the last event. */
  abstract generate (request: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult>

  /** Takes up a running or finished request from a position on a new connection. */
  abstract resume (requestId: RequestId, position: number, signal: AbortSignal): AsyncIterable<GenerationEventResult>

  /** Ends a request. */
  abstract cancel (requestId: RequestId): ResultAsync<void, LimpetwinchError>

  /** Loads an adapter; answers when it can be used. */
  abstract load (order: AdapterOrder, source: AdapterReference): ResultAsync<void, LimpetwinchError>

  /** Unloads an adapter, whether it is in use or not: that is the owner's care. */
  abstract unload (order: AdapterOrder): ResultAsync<void, LimpetwinchError>

  /** Orders another base model or role. */
  abstract configure (change: { baseModel?: string, role?: string }, token: FencingToken): ResultAsync<void, LimpetwinchError>

  /** @returns the newest report, which lags */
  abstract report (): ResultAsync<EngineReport, LimpetwinchError>

  /** @returns cache events after a sequence number, late and with gaps */
  abstract cacheEvents (after: number): ResultAsync<readonly CacheEvent[], LimpetwinchError>
}

/** An event, or the error that ended the stream. */
export type GenerationEventResult =
  | { readonly ok: true, readonly event: GenerationEvent }
  | { readonly ok: false, readonly error: LimpetwinchError }
