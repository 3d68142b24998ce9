/** The object API over HTTP. */
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Agent, request } from 'undici'
import { z } from 'zod'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { ObjectStore } from './object-store.js'
import type { ConditionalWrite, StoredObject, WatchStep } from './object-store.js'

const ANSWER_MILLISECONDS = 2_000
const WATCH_GRACE_MILLISECONDS = 2_000

const storedObjectSchema = z.object({ path: z.string(), version: z.number(), value: z.unknown() })
const listSchema = z.object({ objects: z.array(storedObjectSchema), cursor: z.number() })
const watchSchema = z.object({ cursor: z.number(), changes: z.array(storedObjectSchema) })
const versionSchema = z.object({ version: z.number() })
const conflictSchema = z.object({ version: z.number(), value: z.unknown().optional() })

interface Call {
  readonly method: 'GET' | 'PUT'
  readonly target: string
  readonly body?: unknown
  readonly milliseconds: number
  readonly signal?: AbortSignal
}

interface Answer {
  readonly status: number
  readonly body: unknown
}

/** Calls made by this process, by kind, as the platform counts them. */
export interface ObjectStoreCalls {
  reads: number
  writes: number
  watches: number
  failed: number
}

/** An {@link ObjectStore} reached over HTTP; it never repeats a call by itself. */
export class HttpObjectStore extends ObjectStore {
  readonly calls: ObjectStoreCalls = { reads: 0, writes: 0, watches: 0, failed: 0 }
  private readonly base: string
  private readonly agent: Agent

  /** @param base - URL of the platform */
  constructor (base: string) {
    super()
    this.base = base
    this.agent = new Agent({ connections: 16, pipelining: 1 })
  }

  override get (path: string): ResultAsync<StoredObject | undefined, LimpetwinchError> {
    this.calls.reads += 1
    const target = `/objects?path=${encodeURIComponent(path)}`
    return this.read(target, ANSWER_MILLISECONDS).andThen((answer): Result<StoredObject | undefined, LimpetwinchError> => {
      if (answer.status === 404) return ok(undefined)
      return parsed(storedObjectSchema, answer)
    })
  }

  override list (prefix: string): ResultAsync<{ objects: readonly StoredObject[], cursor: number }, LimpetwinchError> {
    this.calls.reads += 1
    const target = `/objects?prefix=${encodeURIComponent(prefix)}`
    return this.read(target, ANSWER_MILLISECONDS).andThen((answer) => parsed(listSchema, answer))
  }

  override put (write: ConditionalWrite): ResultAsync<number, LimpetwinchError> {
    this.calls.writes += 1
    return new ResultAsync(this.write(write))
  }

  override watch (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): ResultAsync<WatchStep, LimpetwinchError> {
    this.calls.watches += 1
    const target = `/watch?prefix=${encodeURIComponent(prefix)}&cursor=${cursor}&wait=${Math.round(waitMilliseconds)}`
    return this.read(target, waitMilliseconds + WATCH_GRACE_MILLISECONDS, signal).andThen((answer) => parsed(watchSchema, answer))
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private read (target: string, milliseconds: number, signal?: AbortSignal): ResultAsync<Answer, LimpetwinchError> {
    const call: Call = { method: 'GET', target, milliseconds, ...(signal === undefined ? {} : { signal }) }
    return ResultAsync.fromPromise(this.send(call), (cause) => this.unavailable(cause))
  }

  private async write (write: ConditionalWrite): Promise<Result<number, LimpetwinchError>> {
    let answer: Answer
    try {
      answer = await this.send({ method: 'PUT', target: '/objects', body: write, milliseconds: ANSWER_MILLISECONDS })
    } catch (cause) {
      if (neverConnected(cause)) return err(this.unavailable(cause))
      // The platform may have carried the write out before its answer was lost; calling it unavailable would make
      // the caller write twice. The caller reads back by the write's own id.
      this.calls.failed += 1
      return err(new LimpetwinchError('store-answer-lost', { path: write.path }, { cause }))
    }
    if (answer.status === 409) {
      return parsed(conflictSchema, { ...answer, status: 200 })
        .andThen((conflict) => err(new LimpetwinchError('version-conflict', { path: write.path, ...conflict })))
    }
    return parsed(versionSchema, answer).map((body) => body.version)
  }

  private async send (call: Call): Promise<Answer> {
    const timeout = AbortSignal.timeout(call.milliseconds)
    const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal])
    const response = await request(this.base + call.target, {
      method: call.method,
      dispatcher: this.agent,
      signal,
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body), headers: { 'content-type': 'application/json' } })
    })
    const text = await response.body.text()
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }
  }

  private unavailable (cause: unknown): LimpetwinchError {
    this.calls.failed += 1
    const reason = cause instanceof Error ? cause.message : String(cause)
    return new LimpetwinchError('store-unavailable', { reason }, { cause })
  }
}

/** @returns whether an error proves that nothing was sent */
export function neverConnected (cause: unknown): boolean {
  const code = (cause as { code?: string } | undefined)?.code
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH'
}

function parsed<Body> (schema: z.ZodType<Body>, answer: Answer): Result<Body, LimpetwinchError> {
  if (answer.status !== 200) {
    return err(new LimpetwinchError('store-unavailable', { reason: `status ${answer.status}` }))
  }
  const result = schema.safeParse(answer.body)
  if (result.success) return ok(result.data)
  return err(new LimpetwinchError('store-unavailable', { reason: `an answer of another form: ${result.error.message}` }))
}
