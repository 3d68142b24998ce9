/**
 * Calls to a store over HTTP. Each call is sent once and limited in time and response size. The errors tell whether a failed
 * call may have taken effect.
 */
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { boundedCall } from '../http/bounded-call.js'
import { OversizedResponseError, readBoundedBytes } from '../http/bounded-text.js'

/** Default maximum size of a response body in bytes (64 MiB), large enough for a list of all objects of a deployment. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
/**
 * Time from the first byte of a response body to its last, in milliseconds. A watch may wait for long, but once its response has begun, one that
 * never ends would hold back the state that it brings.
 */
const BODY_MILLISECONDS = 2_000
/** Statuses by which a store says that it did not carry out a write: it was too large, over the rate limit, or sent during an outage. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([413, 429, 503])

/** One call to a store. */
export interface StoreCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  /** Path and query, relative to the base URL. */
  readonly target: string
  /** The request body, sent as JSON. */
  readonly body?: unknown
  /** Timeout of the whole call, including the response body, in milliseconds. */
  readonly milliseconds: number
  /** Cancels the call. */
  readonly signal?: AbortSignal | undefined
}

/** The response to a call. */
export interface StoreAnswer {
  readonly status: number
  /** The parsed JSON body, or undefined for any other body, such as an error page; callers then use the status alone. */
  readonly body: unknown
  /** Size of the body. */
  readonly bytes: number
}

/** Options of the connections to a store. */
export interface StoreConnectionOptions {
  /** Maximum number of simultaneous connections; a waiting watch occupies one. */
  readonly connections: number
  /** Timeout for opening a connection, in milliseconds. A connection that takes longer counts as never made. */
  readonly connectMilliseconds?: number
  /** Maximum size of a response body in bytes. */
  readonly maximumAnswerBytes?: number
  /** Maximum size of all response bodies that are being read at one time, in bytes; that of one body by default. */
  readonly maximumHeldBytes?: number
}

/** The connections to one store. */
export class StoreConnection {
  private readonly base: string
  private readonly options: StoreConnectionOptions
  private agent: Agent
  /** Agents that were replaced and whose last calls are still under way. */
  private readonly replaced = new Set<Agent>()
  private readonly maximumAnswerBytes: number
  private readonly maximumHeldBytes: number
  /** Bytes of the response bodies that are being read. */
  private heldBytes = 0

  /**
   * @param base - the base URL of the store
   * @param options - options of the connections
   */
  constructor (base: string, options: StoreConnectionOptions) {
    this.base = base
    this.options = options
    this.maximumAnswerBytes = options.maximumAnswerBytes ?? MAXIMUM_ANSWER_BYTES
    this.maximumHeldBytes = options.maximumHeldBytes ?? this.maximumAnswerBytes
    this.agent = createAgent(options)
  }

  /**
   * Sends a call once. If it gets no response in its time, further calls use new connections: the others that are open may have fallen
   * silent with that of this call, and each would cost a call its time.
   *
   * @param call - the call to send
   * @returns the response
   * @throws the error of undici if no complete response was received; see {@link failedWriteError}
   */
  async send (call: StoreCall): Promise<StoreAnswer> {
    try {
      return await this.sendOnce(call)
    } catch (cause) {
      if (isTimeout(cause)) this.renew()
      throw cause
    }
  }

  private async sendOnce (call: StoreCall): Promise<StoreAnswer> {
    const response = await request(this.base + call.target, {
      method: call.method,
      dispatcher: this.agent,
      ...boundedCall(call.milliseconds, call.signal),
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body), headers: { 'content-type': 'application/json' } })
    })
    // Invalid UTF-8 is replaced and not rejected, so that one object with invalid bytes does not hide all other objects of a list.
    const body = await readBoundedBytes(this.counted(response.body), this.maximumAnswerBytes)
    return { status: response.statusCode, body: parseJson(body.toString('utf8')), bytes: body.length }
  }

  /** @returns the chunks of a body, which count as held until all of them have been read */
  private async * counted (body: Dispatcher.ResponseData['body']): AsyncGenerator<Buffer> {
    let bytes = 0
    let timer: NodeJS.Timeout | undefined
    try {
      for await (const chunk of body as AsyncIterable<Buffer>) {
        timer ??= setTimeout(() => { body.destroy(new Error('the body of the answer did not end in time')) }, BODY_MILLISECONDS)
        bytes += chunk.length
        this.heldBytes += chunk.length
        if (this.heldBytes > this.maximumHeldBytes) throw new OversizedResponseError(this.maximumHeldBytes)
        yield chunk
      }
    } finally {
      clearTimeout(timer)
      this.heldBytes -= bytes
    }
  }

  /** Sends further calls on new connections. Calls that are under way end on theirs, which are closed afterwards. */
  renew (): void {
    const { agent } = this
    this.replaced.add(agent)
    this.agent = createAgent(this.options)
    const forget = (): void => { this.replaced.delete(agent) }
    // Rejects if this object is closed first, which ends the calls of all agents.
    void agent.close().then(forget, forget)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([this.agent, ...this.replaced].map(async (agent) => { await agent.destroy() }))
  }
}

/** A cancelled or timed out call needs no cleanup: undici closes its connection, which cannot be reused after a lost response. */
function createAgent ({ connections, connectMilliseconds }: StoreConnectionOptions): Agent {
  return new Agent({ connections, pipelining: 1, ...(connectMilliseconds === undefined ? {} : { connect: { timeout: connectMilliseconds } }) })
}

/** @returns whether the error of a call says that no answer came in its time */
function isTimeout (cause: unknown): boolean {
  return cause instanceof DOMException && cause.name === 'TimeoutError'
}

/** @returns whether the status means that the store did not carry out the call */
export function isRefusedStatus (status: number): boolean {
  return REFUSED_STATUSES.has(status)
}

/**
 * Creates the error of a write that got no response. The write may have been carried out or may still be, so reporting the
 * store as unavailable would make the caller write twice. Only a connection that was never made proves that nothing was sent.
 *
 * @param path - path of the written object
 * @param cause - the error of the call
 * @returns `store-unavailable` if nothing was sent, else `store-answer-lost`
 */
export function failedWriteError (path: string, cause: unknown): LimpetwinchError {
  if (neverConnected(cause)) return storeUnavailableError(reasonOf(cause), cause)
  return new LimpetwinchError('store-answer-lost', { path }, { cause })
}

/** @returns the error of a call that had no effect */
export function storeUnavailableError (reason: string, cause?: unknown): LimpetwinchError {
  return new LimpetwinchError('store-unavailable', { reason }, { cause })
}

/** @returns the message of an error */
export function reasonOf (cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause)
}

/**
 * Checks whether the error of a call proves that nothing was sent. A socket that loses its route during a call has the same
 * error codes as a socket that never connected, so the failed system call is checked as well.
 *
 * @param cause - the error of the call
 * @returns whether no connection was made
 */
export function neverConnected (cause: unknown): boolean {
  if (cause instanceof AggregateError) return cause.errors.length > 0 && cause.errors.every(neverConnected)
  const { code, syscall } = (cause ?? {}) as { code?: string, syscall?: string }
  if (code === 'UND_ERR_CONNECT_TIMEOUT') return true
  return syscall === 'connect' && CONNECT_FAILURES.has(code ?? '')
}

/** Error codes of a socket that could not connect. */
const CONNECT_FAILURES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'])

function parseJson (text: string): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
