/** Calls to a store over HTTP: each is sent once, bounded in time and size, and what became of it is told apart. */
import { Agent, request } from 'undici'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { readBoundedBytes } from '../http/bounded-text.js'

/** Room for a list of everything that a deployment holds. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
/** Answers by which a store says that it did not carry a write out: too large, over its rate, in an outage. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([413, 429, 503])

/** One call. */
export interface StoreCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  /** Path and query. */
  readonly target: string
  /** Sent as JSON. */
  readonly body?: unknown
  /** After this the call is given up. */
  readonly milliseconds: number
  /** Gives it up as well. */
  readonly signal?: AbortSignal | undefined
}

/** What came back. */
export interface StoreAnswer {
  readonly status: number
  /** Parsed JSON; undefined for anything else, such as an error page, whose status says enough. */
  readonly body: unknown
}

/** How connections to a store are kept. */
export interface StoreConnectionOptions {
  /** Most connections at a time; a waiting watch holds one. */
  readonly connections: number
  /** A connection that takes longer to open counts as never made. */
  readonly connectMilliseconds?: number
  readonly maximumAnswerBytes?: number
}

/** The connections to one store. */
export class StoreConnection {
  private readonly base: string
  private readonly agent: Agent
  private readonly maximumAnswerBytes: number

  /**
   * @param base - URL of the store
   * @param options - how connections are kept
   */
  constructor (base: string, options: StoreConnectionOptions) {
    const { connections, connectMilliseconds, maximumAnswerBytes: maximumAnswerBytes = MAXIMUM_ANSWER_BYTES } = options
    this.base = base
    this.maximumAnswerBytes = maximumAnswerBytes
    // A call whose answer is lost leaves its connection useless; undici closes it when the call is given up.
    this.agent = new Agent({ connections, pipelining: 1, ...(connectMilliseconds === undefined ? {} : { connect: { timeout: connectMilliseconds } }) })
  }

  /**
   * @param call - what is sent, once
   * @returns the answer
   * @throws whatever undici says of a call without a whole answer; see {@link failedWriteError}
   */
  async send (call: StoreCall): Promise<StoreAnswer> {
    const timeout = AbortSignal.timeout(call.milliseconds)
    const signal = call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal])
    const response = await request(this.base + call.target, {
      method: call.method,
      dispatcher: this.agent,
      signal,
      ...(call.body === undefined ? {} : { body: JSON.stringify(call.body), headers: { 'content-type': 'application/json' } })
    })
    // One object with unreadable bytes must not hide all others of its listing, so bad bytes are replaced, not refused.
    const text = (await readBoundedBytes(response.body, this.maximumAnswerBytes)).toString('utf8')
    return { status: response.statusCode, body: parseJson(text) }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }
}

/** @returns whether the store says by this status that it did nothing */
export function isRefusedStatus (status: number): boolean {
  return REFUSED_STATUSES.has(status)
}

/**
 * A write without an answer may have been carried out, or may be later; calling it unavailable would make the caller
 * write twice. Only a connection that was never made proves that nothing was sent.
 *
 * @param path - what was written
 * @param cause - what the call failed with
 */
export function failedWriteError (path: string, cause: unknown): LimpetwinchError {
  if (neverConnected(cause)) return storeUnavailableError(reasonOf(cause), cause)
  return new LimpetwinchError('store-answer-lost', { path }, { cause })
}

/** @returns the error of a call that did nothing */
export function storeUnavailableError (reason: string, cause?: unknown): LimpetwinchError {
  return new LimpetwinchError('store-unavailable', { reason }, { cause })
}

/** @returns what an error says of itself */
export function reasonOf (cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause)
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

function parseJson (text: string): unknown {
  if (text === '') return undefined
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
