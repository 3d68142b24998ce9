/** The client of a model engine over HTTP, using the protocol in docs/reference/stand-in-protocols.md. */
import { createParser } from 'eventsource-parser'
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import { ERRORS } from '../errors/errors-data.js'
import type { ErrorName } from '../errors/errors-data.js'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { ErrorOptions } from '../errors/limpetwinch-error.js'
import { OversizedResponseError, readBoundedText } from '../http/bounded-text.js'
import { formatAdapter } from '../ids/adapter-reference.js'
import type { AdapterReference } from '../ids/adapter-reference.js'
import type { EndpointId, FencingToken, RequestId } from '../ids/ids.js'
import { neverConnected } from '../platform/store-connection.js'
import { EngineClient } from './engine-client.js'
import type { AdapterOrder, CacheEvent, EngineReport, GeneratedPart, GenerateRequest, GenerationEventResult } from './engine-client.js'

/** Timeout of loads and reconfigurations. */
const ORDER_TIMEOUT_MILLISECONDS = 60_000
/** Timeout of all other calls without a stream. */
const CALL_TIMEOUT_MILLISECONDS = 5_000
/** Maximum size in bytes (16 MiB) of the response to a call without a stream. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
/** Maximum size in bytes (64 KiB) of an error response to a call with a stream. */
const MAXIMUM_REFUSAL_BYTES = 64 * 1024
/** Maximum number of characters of one event of a stream, because a longer event could fill the memory. */
const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024
/** Codes with which an engine refuses a call, and which are reported as errors of the same kind. Other codes become `endpoint-refused`. */
const REFUSAL_CODES: ReadonlySet<string> = new Set(['adapter-not-loaded', 'stale-fencing-token', 'no-free-slot', 'load-failed'])

const endSchema = z.object({
  end: z.object({
    finishReason: z.string(),
    promptTokens: z.number(),
    outputTokens: z.number(),
    adapter: z.string().optional()
  })
})
const refusalSchema = z.object({ error: z.object({ code: z.string(), message: z.string() }) })
const reportSchema = z.object({
  madeAt: z.number(),
  engineRun: z.string(),
  baseModel: z.string(),
  role: z.string(),
  slots: z.number(),
  loaded: z.array(z.string()),
  running: z.array(z.object({ requestId: z.string(), adapter: z.string().optional() })),
  queued: z.number(),
  batchCapacity: z.number(),
  batchFill: z.number()
})
const cacheEventsSchema = z.object({
  events: z.array(z.object({ sequence: z.number(), kind: z.enum(['stored', 'evicted']), prefix: z.string() }))
})

/** An {@link EngineClient} over HTTP. Requests are never retried: undici's retries are left disabled. */
export class HttpEngineClient extends EngineClient {
  private readonly endpoint: EndpointId
  private readonly base: string
  private readonly agent: Agent

  /**
   * @param endpoint - the engine's id, for error messages
   * @param base - the engine's base URL
   */
  constructor (endpoint: EndpointId, base: string) {
    super()
    this.endpoint = endpoint
    this.base = base
    this.agent = new Agent({ connections: 1024, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  }

  override generate (generation: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    return this.stream('POST', '/generate', generation, signal)
  }

  override resume (requestId: RequestId, position: number, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    return withUnknownOutcome(this.stream('GET', `/generate/${requestId}?from=${position}`, undefined, signal))
  }

  override cancel (requestId: RequestId): ResultAsync<void, LimpetwinchError> {
    return this.call('POST', `/generate/${requestId}/cancel`, {}, CALL_TIMEOUT_MILLISECONDS).map(() => undefined)
  }

  override load (order: AdapterOrder, source: AdapterReference): ResultAsync<void, LimpetwinchError> {
    return this.call('POST', '/adapters/load', { ...order, source }, ORDER_TIMEOUT_MILLISECONDS, formatAdapter(source)).map(() => undefined)
  }

  override unload (order: AdapterOrder): ResultAsync<void, LimpetwinchError> {
    return this.call('POST', '/adapters/unload', order, CALL_TIMEOUT_MILLISECONDS, order.name).map(() => undefined)
  }

  override configure (change: { baseModel?: string, role?: string }, token: FencingToken): ResultAsync<void, LimpetwinchError> {
    return this.call('POST', '/configure', { ...change, token }, ORDER_TIMEOUT_MILLISECONDS).map(() => undefined)
  }

  override report (): ResultAsync<EngineReport, LimpetwinchError> {
    return this.call('GET', '/report', undefined, CALL_TIMEOUT_MILLISECONDS)
      .andThen((body) => this.parseBody(reportSchema, body))
      .map((report) => report as unknown as EngineReport)
  }

  override cacheEvents (after: number): ResultAsync<readonly CacheEvent[], LimpetwinchError> {
    return this.call('GET', `/cache-events?after=${after}`, undefined, CALL_TIMEOUT_MILLISECONDS)
      .andThen((body) => this.parseBody(cacheEventsSchema, body))
      .map((body) => body.events)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async * stream (method: 'GET' | 'POST', target: string, body: unknown, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    let response: Dispatcher.ResponseData
    try {
      response = await this.send(method, target, body, signal)
      if (response.statusCode !== 200) {
        yield { ok: false, error: this.refusal(response.statusCode, await readBoundedText(response.body, MAXIMUM_REFUSAL_BYTES), undefined) }
        return
      }
    } catch (cause) {
      yield { ok: false, error: this.failure(cause) }
      return
    }
    yield * this.events(response.body)
  }

  private async * events (body: Dispatcher.ResponseData['body']): AsyncIterable<GenerationEventResult> {
    const events = new EventStreamDecoder()
    let ended = false
    body.on('error', ignore)
    try {
      for await (const chunk of body.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        for (const data of events.feed(chunk)) {
          const event = this.parseEvent(data)
          ended = event.ok && event.event.kind === 'end'
          yield event
          if (!event.ok || ended) return
        }
      }
      yield { ok: false, error: this.transportFailure('the stream ended early') }
    } catch (cause) {
      yield { ok: false, error: isUnreadable(cause) ? this.engineFailure(reasonOf(cause), cause) : this.failure(cause) }
    } finally {
      // After a complete response only the end of the body is left. Reading it keeps the connection usable for the next
      // request, while destroying the body would cost each request a new connection.
      if (ended) body.dump().catch(ignore)
      else body.destroy()
    }
  }

  private parseEvent (data: string): GenerationEventResult {
    let body: unknown
    try {
      body = JSON.parse(data)
    } catch (cause) {
      return { ok: false, error: this.engineFailure('an event that is not JSON', cause) }
    }
    if (isGeneratedPart(body)) return { ok: true, event: { kind: 'part', part: body } }
    const end = endSchema.safeParse(body)
    if (end.success) return { ok: true, event: { kind: 'end', end: { ...end.data.end, adapter: end.data.end.adapter } } }
    const reason = (body as { error?: unknown } | null)?.error
    return { ok: false, error: this.engineFailure(typeof reason === 'string' ? reason : 'an event of unknown form') }
  }

  private call (method: 'GET' | 'POST', target: string, body: unknown, milliseconds: number, adapter?: string): ResultAsync<unknown, LimpetwinchError> {
    return new ResultAsync(this.requestJson(method, target, body, milliseconds, adapter))
  }

  private async requestJson (
    method: 'GET' | 'POST', target: string, body: unknown, milliseconds: number, adapter?: string
  ): Promise<Result<unknown, LimpetwinchError>> {
    try {
      const response = await this.send(method, target, body, AbortSignal.timeout(milliseconds))
      const text = await readBoundedText(response.body, MAXIMUM_ANSWER_BYTES)
      if (response.statusCode !== 200) return err(this.refusal(response.statusCode, text, adapter))
      return ok(text === '' ? undefined : JSON.parse(text))
    } catch (cause) {
      return err(this.failure(cause))
    }
  }

  private async send (method: 'GET' | 'POST', target: string, body: unknown, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    return await request(this.base + target, {
      method,
      dispatcher: this.agent,
      signal,
      ...(body === undefined ? {} : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    })
  }

  private parseBody<Body> (schema: z.ZodType<Body>, body: unknown): Result<Body, LimpetwinchError> {
    const result = schema.safeParse(body)
    if (result.success) return ok(result.data)
    return err(this.engineFailure(`an answer of another form: ${result.error.message}`))
  }

  /** Only an error body of the engine itself proves that the request was not run; any other unexpected status proves nothing. */
  private refusal (status: number, text: string, adapter: string | undefined): LimpetwinchError {
    const refused = refusalSchema.safeParse(parseJsonOrUndefined(text))
    if (!refused.success) return this.transportFailure(`status ${status}`)
    const { code, message } = refused.data.error
    const details = { endpoint: this.endpoint, adapter, reason: message, code }
    if (REFUSAL_CODES.has(code) && Object.hasOwn(ERRORS, code)) return new LimpetwinchError(code as ErrorName, details)
    return new LimpetwinchError('endpoint-refused', details)
  }

  private failure (cause: unknown): LimpetwinchError {
    // The request provably never reached the endpoint only if no connection was made.
    const outcome = neverConnected(cause) ? 'not_run' : 'unknown'
    return this.transportFailure(reasonOf(cause), { cause, outcome })
  }

  /** The connection to the engine failed, or an intermediary responded in place of the engine. */
  private transportFailure (reason: string, options: ErrorOptions = {}): LimpetwinchError {
    return new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason, heard: false }, options)
  }

  private engineFailure (reason: string, cause?: unknown): LimpetwinchError {
    return new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason }, { cause })
  }
}

/**
 * Gives every error of a resume the outcome `unknown`. The request was sent earlier, so an engine that no longer knows the request
 * or no longer accepts connections may have run it. With the outcome `not_run`, the code that resumed the stream would run the
 * request twice.
 */
async function * withUnknownOutcome (results: AsyncIterable<GenerationEventResult>): AsyncIterable<GenerationEventResult> {
  for await (const result of results) {
    if (result.ok) yield result
    else yield { ok: false, error: new LimpetwinchError(result.error.kind, { ...result.error.details }, { outcome: 'unknown', cause: result.error }) }
  }
}

/**
 * Decodes server-sent events from the chunks of a stream. Bytes that are not valid UTF-8 end the stream, because with
 * replacement characters the caller would receive text that the engine never generated. An event above the size limit
 * also ends the stream, because such an event could fill the memory.
 */
class EventStreamDecoder {
  private readonly decoder = new TextDecoder('utf-8', { fatal: true })
  private completeEvents: string[] = []
  private oversize = false
  private readonly parser = createParser({
    maxBufferSize: MAXIMUM_EVENT_CHARACTERS,
    onEvent: (event) => { this.completeEvents.push(event.data) },
    onError: (error) => { this.oversize ||= error.type === 'max-buffer-size-exceeded' }
  })

  /** @returns the data of the events that this chunk completes */
  feed (chunk: Buffer): string[] {
    this.parser.feed(this.decoder.decode(chunk, { stream: true }))
    if (this.oversize) throw new OversizedResponseError(MAXIMUM_EVENT_CHARACTERS)
    const completed = this.completeEvents
    this.completeEvents = []
    return completed
  }
}

/** Checks a part without a schema, because this check runs for each token. */
function isGeneratedPart (body: unknown): body is GeneratedPart {
  if (typeof body !== 'object' || body === null) return false
  const { position, text } = body as Partial<GeneratedPart>
  return typeof text === 'string' && Number.isSafeInteger(position) && (position as number) >= 0
}

function reasonOf (cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause)
}

/** @returns whether the error means that a received event could not be decoded */
function isUnreadable (cause: unknown): boolean {
  return cause instanceof OversizedResponseError || (cause as { code?: unknown } | null)?.code === 'ERR_ENCODING_INVALID_ENCODED_DATA'
}

function ignore (): void {}

function parseJsonOrUndefined (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
