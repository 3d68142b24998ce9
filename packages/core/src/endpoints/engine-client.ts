/** The abstract client of a model engine. An engine with another wire protocol gets a subclass of its own. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { AdapterReference } from '../ids/adapter-reference.js'
import type { FencingToken, LoadedName, RequestId } from '../ids/ids.js'

/** A request to generate text on an engine. */
export interface GenerateRequest {
  readonly requestId: RequestId
  /** The loaded adapter, or undefined for the base model alone. */
  readonly adapter: LoadedName | undefined
  readonly prompt: string
  readonly maximumTokens: number
  /** Requests with a higher priority are run first. */
  readonly priority: number
  readonly temperature?: number
  readonly seed?: number
}

/** One part of a response. Positions count tokens from 0, so that late, duplicate and missing parts can be detected. */
export interface GeneratedPart {
  readonly position: number
  readonly text: string
}

/** The end of a complete response. */
export interface GenerationEnd {
  readonly finishReason: string
  readonly promptTokens: number
  readonly outputTokens: number
  /** The adapter that the engine reports to have used. */
  readonly adapter: string | undefined
}

/** An event of a response stream: any number of parts, followed by exactly one end. */
export type GenerationEvent = { readonly kind: 'part', readonly part: GeneratedPart } | { readonly kind: 'end', readonly end: GenerationEnd }

/** An order to load or unload an adapter. The order carries the owner's fencing token. Some engines refuse an old token, others ignore tokens. */
export interface AdapterOrder {
  readonly name: LoadedName
  readonly token: FencingToken
}

/** The state that an engine reports. The state may have changed again before the report arrives. */
export interface EngineReport {
  /** Wall time at which the engine made the report, in milliseconds. */
  readonly madeAt: number
  /** Identifies one run of the engine process; another value means that the engine restarted with no adapters loaded. */
  readonly engineRun: string
  readonly baseModel: string
  readonly role: string
  readonly slots: number
  readonly loaded: readonly LoadedName[]
  readonly running: readonly { readonly requestId: RequestId, readonly adapter?: LoadedName | undefined }[]
  readonly queued: number
  /** Maximum number of sequences in one step of the engine. */
  readonly batchCapacity: number
  /** Mean fraction of the batch capacity that was used per step since the previous report, from 0 to 1. */
  readonly batchFill: number
}

/**
 * One event of the engine's prefix cache, the cache of already processed prompt prefixes. A gap in the sequence numbers shows that
 * events were lost.
 */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  /** Hash of a prompt prefix. */
  readonly prefix: string
}

/**
 * The client of one model engine.
 *
 * Errors: `endpoint-refused`, `adapter-not-loaded` (outcome `not_run`), `endpoint-failed` (outcome `unknown`, or
 * `not_run` when no connection could be made), `stale-fencing-token`, `no-free-slot`, `load-failed`. The details of an
 * `endpoint-failed` error contain `heard: false` if the connection failed or an intermediary responded. The failure was then not
 * reported by the engine, which may still be running the request.
 */
export abstract class EngineClient {
  /** Starts a request. The client never retries by itself. An error is always the last event. */
  abstract generate (request: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult>

  /** Continues the stream of a running or finished request from a position, on a new connection. */
  abstract resume (requestId: RequestId, position: number, signal: AbortSignal): AsyncIterable<GenerationEventResult>

  /** Cancels a request. */
  abstract cancel (requestId: RequestId): ResultAsync<void, LimpetwinchError>

  /** Loads an adapter. The result arrives when the adapter can be used. */
  abstract load (order: AdapterOrder, source: AdapterReference): ResultAsync<void, LimpetwinchError>

  /** Unloads an adapter even if requests use the adapter: the owner of the engine must make sure that no request does. */
  abstract unload (order: AdapterOrder): ResultAsync<void, LimpetwinchError>

  /** Switches the engine to another base model or role. */
  abstract configure (change: { baseModel?: string, role?: string }, token: FencingToken): ResultAsync<void, LimpetwinchError>

  /** @returns the latest report, which lags behind the engine's actual state */
  abstract report (): ResultAsync<EngineReport, LimpetwinchError>

  /** @returns the cache events after a sequence number; events arrive late, and some may be missing */
  abstract cacheEvents (after: number): ResultAsync<readonly CacheEvent[], LimpetwinchError>
}

/** An event of a stream, or the error that ended the stream. */
export type GenerationEventResult =
  | { readonly ok: true, readonly event: GenerationEvent }
  | { readonly ok: false, readonly error: LimpetwinchError }
