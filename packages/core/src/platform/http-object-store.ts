/** The object API over HTTP. */
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Agent, request } from 'undici'
import { z } from 'zod'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { readBoundedText } from '../http/bounded-text.js'
import { ObjectStore } from './object-store.js'
import type { ConditionalWrite, StoredObject, WatchStep } from './object-store.js'

const ANSWER_MILLISECONDS = 2_000
const WATCH_GRACE_MILLISECONDS = 2_000
/** Room for a list of everything that a deployment holds. */
const MOST_ANSWER_BYTES = 64 * 1024 * 1024
/** Answers by which the platform says that it did not carry a write out: too large, over its rate, in an outage. */
const REFUSED_WRITE_STATUSES: ReadonlySet<number> = new Set([413, 429, 503])

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
      return err(this.answerLost(write, cause))
    }
    return this.readWriteAnswer(write, answer)
  }

  /** Only the platform's own words count; an error page of something in between says nothing about the write. */
  private readWriteAnswer (write: ConditionalWrite, answer: Answer): Result<number, LimpetwinchError> {
    const written = versionSchema.safeParse(answer.body)
    if (answer.status === 200 && written.success) return ok(written.data.version)
    const conflict = conflictSchema.safeParse(answer.body)
    if (answer.status === 409 && conflict.success) {
      return err(new LimpetwinchError('version-conflict', { path: write.path, ...conflict.data }))
    }
    const reason = `status ${answer.status}`
    if (REFUSED_WRITE_STATUSES.has(answer.status)) return err(this.unavailable(new Error(reason)))
    return err(this.answerLost(write, new Error(reason)))
  }

  /**
   * The platform may have carried the write out before its answer was lost; calling it unavailable would make the
   * caller write twice. The caller reads back by the write's own id.
   */
  private answerLost (write: ConditionalWrite, cause: unknown): LimpetwinchError {
    this.calls.failed += 1
    return new LimpetwinchError('store-answer-lost', { path: write.path }, { cause })
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
    const text = await readBoundedText(response.body, MOST_ANSWER_BYTES)
    return { status: response.statusCode, body: parseBody(response.statusCode, text) }
  }

  private unavailable (cause: unknown): LimpetwinchError {
    this.calls.failed += 1
    const reason = cause instanceof Error ? cause.message : String(cause)
    return new LimpetwinchError('store-unavailable', { reason }, { cause })
  }
}

/**
 * @param cause - what a call failed with
 * @returns whether it proves that nothing was sent; a socket that lost its route under way carries the same codes as one
 *   that never connected, so the system call decides
 */
export function neverConnected (cause: unknown): boolean {
  if (cause instanceof AggregateError) return cause.errors.length > 0 && cause.errors.every(neverConnected)
  const { code, syscall } = (cause ?? {}) as { code?: string, syscall?: string }
  if (code === 'UND_ERR_CONNECT_TIMEOUT') return true
  return syscall === 'connect' && CONNECT_FAILURES.has(code ?? '')
}

const CONNECT_FAILURES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'])

/** An error page is no JSON, and its status says enough. */
function parseBody (status: number, text: string): unknown {
  if (status !== 200 && status !== 409) return undefined
  return text === '' ? undefined : JSON.parse(text)
}

function parsed<Body> (schema: z.ZodType<Body>, answer: Answer): Result<Body, LimpetwinchError> {
  if (answer.status !== 200) {
    return err(new LimpetwinchError('store-unavailable', { reason: `status ${answer.status}` }))
  }
  const result = schema.safeParse(answer.body)
  if (result.success) return ok(result.data)
  return err(new LimpetwinchError('store-unavailable', { reason: `an answer of another form: ${result.error.message}` }))
}
