/** The client of the platform's object API over HTTP. */
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { ObjectStore } from './object-store.js'
import type { ConditionalWrite, StoredObject, WatchStep } from './object-store.js'
import { isRefusedStatus, neverConnected, reasonOf, StoreConnection, storeUnavailableError } from './store-connection.js'
import type { StoreAnswer } from './store-connection.js'

/** Timeout of each call except a watch. */
const CALL_TIMEOUT_MILLISECONDS = 2_000
/** How much longer than the requested wait a watch call may take before it times out. */
const WATCH_GRACE_MILLISECONDS = 1_000
/** Maximum number of simultaneous connections to the platform; each waiting watch occupies one. */
const MAXIMUM_CONNECTIONS = 16

const storedObjectSchema = z.object({ path: z.string(), version: z.number(), value: z.unknown() })
const listSchema = z.object({ objects: z.array(storedObjectSchema), cursor: z.number() })
const watchSchema = z.object({ cursor: z.number(), changes: z.array(storedObjectSchema) })
const versionSchema = z.object({ version: z.number() })
const conflictSchema = z.object({ version: z.number(), value: z.unknown().optional() })

/** Number of calls that this client has made, for each kind of call that the platform counts, and number of calls that failed. */
export interface ObjectStoreCalls {
  reads: number
  writes: number
  watches: number
  failed: number
}

/** An {@link ObjectStore} over HTTP. The client never retries a call by itself. */
export class HttpObjectStore extends ObjectStore {
  readonly calls: ObjectStoreCalls = { reads: 0, writes: 0, watches: 0, failed: 0 }
  private readonly connection: StoreConnection

  /** @param base - the base URL of the platform */
  constructor (base: string) {
    super()
    this.connection = new StoreConnection(base, { connections: MAXIMUM_CONNECTIONS })
  }

  override get (path: string): ResultAsync<StoredObject | undefined, LimpetwinchError> {
    this.calls.reads += 1
    const target = `/objects?path=${encodeURIComponent(path)}`
    return this.read(target, CALL_TIMEOUT_MILLISECONDS).andThen((answer): Result<StoredObject | undefined, LimpetwinchError> => {
      if (answer.status === 404) return ok(undefined)
      return parseAnswer(storedObjectSchema, answer)
    })
  }

  override list (prefix: string): ResultAsync<{ objects: readonly StoredObject[], cursor: number }, LimpetwinchError> {
    this.calls.reads += 1
    const target = `/objects?prefix=${encodeURIComponent(prefix)}`
    return this.read(target, CALL_TIMEOUT_MILLISECONDS).andThen((answer) => parseAnswer(listSchema, answer))
  }

  override put (write: ConditionalWrite): ResultAsync<number, LimpetwinchError> {
    this.calls.writes += 1
    return new ResultAsync(this.write(write))
  }

  override watch (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): ResultAsync<WatchStep, LimpetwinchError> {
    this.calls.watches += 1
    const target = `/watch?prefix=${encodeURIComponent(prefix)}&cursor=${cursor}&wait=${Math.round(waitMilliseconds)}`
    return this.read(target, waitMilliseconds + WATCH_GRACE_MILLISECONDS, signal).andThen((answer) => parseAnswer(watchSchema, answer))
  }

  override renewConnections (): void {
    this.connection.renew()
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.connection.close()
  }

  private read (target: string, milliseconds: number, signal?: AbortSignal): ResultAsync<StoreAnswer, LimpetwinchError> {
    return ResultAsync.fromPromise(this.connection.send({ method: 'GET', target, milliseconds, signal }), (cause) => this.unavailable(cause))
  }

  private async write (write: ConditionalWrite): Promise<Result<number, LimpetwinchError>> {
    let answer: StoreAnswer
    try {
      answer = await this.connection.send({ method: 'PUT', target: '/objects', body: write, milliseconds: CALL_TIMEOUT_MILLISECONDS })
    } catch (cause) {
      if (neverConnected(cause)) return err(this.unavailable(cause))
      return err(this.answerLost(write, cause))
    }
    return this.readWriteAnswer(write, answer)
  }

  /** Only a response of the platform itself tells whether the write took effect; an error page of an intermediary does not. */
  private readWriteAnswer (write: ConditionalWrite, answer: StoreAnswer): Result<number, LimpetwinchError> {
    const written = versionSchema.safeParse(answer.body)
    if (answer.status === 200 && written.success) return ok(written.data.version)
    const conflict = conflictSchema.safeParse(answer.body)
    if (answer.status === 409 && conflict.success) {
      return err(new LimpetwinchError('version-conflict', { path: write.path, ...conflict.data }))
    }
    const reason = `status ${answer.status}`
    if (isRefusedStatus(answer.status)) return err(this.unavailable(new Error(reason)))
    return err(this.answerLost(write, new Error(reason)))
  }

  /**
   * The platform may have carried out the write before its response was lost. Reporting the store as unavailable would make
   * the caller write twice; with this error the caller reads the object again and looks for the id of its write.
   */
  private answerLost (write: ConditionalWrite, cause: unknown): LimpetwinchError {
    this.calls.failed += 1
    return new LimpetwinchError('store-answer-lost', { path: write.path }, { cause })
  }

  private unavailable (cause: unknown): LimpetwinchError {
    this.calls.failed += 1
    return storeUnavailableError(reasonOf(cause), cause)
  }
}

function parseAnswer<Body> (schema: z.ZodType<Body>, answer: StoreAnswer): Result<Body, LimpetwinchError> {
  if (answer.status !== 200) {
    return err(new LimpetwinchError('store-unavailable', { reason: `status ${answer.status}` }))
  }
  const result = schema.safeParse(answer.body)
  if (result.success) return ok(result.data)
  return err(new LimpetwinchError('store-unavailable', { reason: `an answer of another form: ${result.error.message}` }))
}
