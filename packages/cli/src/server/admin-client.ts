/** Client of an instance's admin API. */
import { err, ok, ResultAsync } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import { LimpetwinchError, neverConnected } from '@limpetwinch/core'

/** URL of an instance's admin address, and the key to call it with. */
export interface AdminServer {
  readonly url: string
  readonly key: string
}

/** One call to the admin API. */
export interface AdminCall {
  readonly method: 'GET' | 'PUT' | 'PATCH' | 'DELETE' | 'POST'
  /** Path and query string. */
  readonly target: string
  readonly body?: string
  readonly contentType?: string
  /** The revision that a change is based on; sent in the `if-match` header. */
  readonly revision?: number
}

/** A successful response. */
export interface AdminResponse {
  readonly text: string
  /** The revision in the ETag header, if any. */
  readonly revision: number | undefined
  /** The author of the revision, from the `x-limpetwinch-author` header. */
  readonly author: string | undefined
}

const RESPONSE_TIMEOUT_MILLISECONDS = 30_000

const errorSchema = z.object({
  error: z.object({
    code: z.string(),
    message: z.string(),
    outcome: z.enum(['not_run', 'unknown']).default('not_run'),
    problems: z.array(z.object({ key: z.string(), line: z.number(), column: z.number(), message: z.string() })).optional(),
    newest: z.number().optional(),
    text: z.string().optional()
  })
})

/** Calls the admin API of one instance. The client never retries a call by itself. */
export class AdminClient {
  private readonly server: AdminServer

  /** @param server - the instance to call, and the key to call it with */
  constructor (server: AdminServer) {
    this.server = server
  }

  /**
   * Sends a call.
   *
   * @param call - method, target, body and revision
   * @returns the response, `admin-unreachable`, `admin-silent`, or `admin-refused` with `details.code`
   */
  send (call: AdminCall): ResultAsync<AdminResponse, LimpetwinchError> {
    return new ResultAsync(this.sendCall(call))
  }

  /**
   * Opens a stream of server-sent events.
   *
   * @param target - path and query string of the stream
   * @param signal - aborts the stream
   * @returns the response with an open body, or the error
   */
  async openStream (target: string, signal: AbortSignal): Promise<Result<Dispatcher.ResponseData, LimpetwinchError>> {
    try {
      const response = await request(this.server.url + target, { method: 'GET', headers: this.headers(), signal, bodyTimeout: 0 })
      if (response.statusCode === 200) return ok(response)
      return err(refused(response.statusCode, await response.body.text()))
    } catch (cause) {
      return err(this.failure(cause))
    }
  }

  private async sendCall (call: AdminCall): Promise<Result<AdminResponse, LimpetwinchError>> {
    try {
      const response = await request(this.server.url + call.target, {
        method: call.method,
        headers: {
          ...this.headers(),
          ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
          ...(call.revision === undefined ? {} : { 'if-match': `"${call.revision}"` })
        },
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS),
        ...(call.body === undefined ? {} : { body: call.body })
      })
      const text = await response.body.text()
      if (response.statusCode >= 300) return err(refused(response.statusCode, text))
      return ok({ text, revision: revisionOf(response.headers['etag']), author: authorOf(response.headers['x-limpetwinch-author']) })
    } catch (cause) {
      return err(this.failure(cause))
    }
  }

  private headers (): Record<string, string> {
    return { authorization: `Bearer ${this.server.key}` }
  }

  private failure (cause: unknown): LimpetwinchError {
    const reason = cause instanceof Error ? cause.message : String(cause)
    const details = { server: this.server.url, reason }
    return new LimpetwinchError(neverConnected(cause) ? 'admin-unreachable' : 'admin-silent', details, { cause })
  }
}

function refused (status: number, text: string): LimpetwinchError {
  const body = errorSchema.safeParse(safeJson(text))
  if (!body.success) return new LimpetwinchError('admin-refused', { status, code: 'unknown', message: `The response of the server has status ${status} and an unexpected format. Check that --server is an instance's admin address.` })
  const { error } = body.data
  return new LimpetwinchError('admin-refused', { status, ...error }, { outcome: error.outcome })
}

function safeJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function revisionOf (etag: string | string[] | undefined): number | undefined {
  const digits = typeof etag === 'string' ? /^"(\d+)"$/.exec(etag)?.[1] : undefined
  return digits === undefined ? undefined : Number(digits)
}

function authorOf (header: string | string[] | undefined): string | undefined {
  return typeof header === 'string' ? decodeURI(header) : undefined
}
