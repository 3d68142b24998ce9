/** One request of a caller: its body, its answer, and whether the caller is still there. */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ResponseHead } from './attempt.js'

/** Headers that concern one connection only, in either direction. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length', 'http2-settings'
])
/** A request that was refused is best sent again after a moment; whoever refuses may know better. */
const RETRY_AFTER_SECONDS = 0.5

/** The exchange with one caller. */
export class CallerExchange {
  readonly incoming: IncomingMessage
  private readonly outgoing: ServerResponse
  private readonly leaving = new AbortController()
  /** Writes whose bytes are still in this process. */
  private unflushed = 0
  private whenFlushed: (() => void) | undefined

  constructor (incoming: IncomingMessage, outgoing: ServerResponse) {
    this.incoming = incoming
    this.outgoing = outgoing
    outgoing.on('close', () => { if (!outgoing.writableFinished) this.leaving.abort() })
    // A caller that resets its connection is a caller that left; the close above says so.
    outgoing.on('error', () => { this.leaving.abort() })
  }

  /** Ends when the caller has gone away before its answer was whole. */
  get left (): AbortSignal {
    return this.leaving.signal
  }

  /** Whether the answer has begun. */
  get hasResponseStarted (): boolean {
    return this.outgoing.headersSent
  }

  /**
   * Reads the body.
   *
   * @param mostBytes - largest body taken
   * @returns the body, undefined when there is none; `body-too-large`, or `request-ended-early`
   */
  async readBody (mostBytes: number): Promise<Result<Buffer | undefined, LimpetwinchError>> {
    const chunks: Buffer[] = []
    let bytes = 0
    try {
      for await (const chunk of this.incoming) {
        bytes += (chunk as Buffer).length
        if (bytes > mostBytes) return err(new LimpetwinchError('body-too-large', { limit: mostBytes }))
        chunks.push(chunk as Buffer)
      }
    } catch (cause) {
      return err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run', cause }))
    }
    return ok(bytes === 0 ? undefined : Buffer.concat(chunks))
  }

  /**
   * The caller's headers for an endpoint, names and values in turn.
   *
   * @param isSystemHeader - headers that are not passed on as they came
   */
  headersForEndpoint (isSystemHeader: (name: string) => boolean): string[] {
    const { rawHeaders } = this.incoming
    const named = new Set(String(this.incoming.headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
    const headers: string[] = []
    for (let at = 0; at < rawHeaders.length; at += 2) {
      const name = rawHeaders[at] ?? ''
      const lower = name.toLowerCase()
      if (CONNECTION_HEADERS.has(lower) || named.has(lower) || isSystemHeader(lower)) continue
      headers.push(name, rawHeaders[at + 1] ?? '')
    }
    return headers
  }

  /** Sends a whole answer of an endpoint. */
  answer (head: ResponseHead, body: Buffer): void {
    if (this.outgoing.destroyed || this.hasResponseStarted) return
    this.outgoing.writeHead(head.status, { ...headersToCaller(head), 'content-length': body.length })
    this.write(body)
    this.end()
  }

  /** Begins an answer whose body follows in parts. */
  beginResponse (head: ResponseHead): void {
    if (this.outgoing.destroyed || this.hasResponseStarted) return
    this.outgoing.writeHead(head.status, headersToCaller(head))
    this.outgoing.flushHeaders()
  }

  /** @returns whether the caller takes more at once; else wait for {@link drained} */
  write (bytes: Buffer): boolean {
    if (this.outgoing.destroyed) return true
    this.unflushed += 1
    return this.outgoing.write(bytes, this.flushed)
  }

  /** Resolves when the caller has read what was written, or has left. */
  async drained (): Promise<void> {
    if (this.left.aborted || !this.outgoing.writableNeedDrain) return
    await once(this.outgoing, 'drain', { signal: this.left }).catch(() => {
      // The caller left; whoever writes next sees it by the signal.
    })
  }

  /**
   * The answer is whole. It ends when its bytes have left this process: a connection whose answer has ended counts as idle, and
   * a stop closes idle connections with all that their callers have not read.
   */
  end (): void {
    if (this.unflushed === 0) this.outgoing.end()
    else this.whenFlushed = () => { this.outgoing.end() }
  }

  /** Resolves when the answer has left this process, or its caller has left. */
  async delivered (): Promise<void> {
    const { outgoing } = this
    if (outgoing.writableFinished || outgoing.closed) return
    await new Promise<void>((resolve) => {
      outgoing.once('finish', resolve)
      outgoing.once('close', resolve)
    })
  }

  private readonly flushed = (): void => {
    this.unflushed -= 1
    if (this.unflushed === 0) this.whenFlushed?.()
  }

  /** Cuts an answer that has begun, so that it cannot look whole. */
  cut (): void {
    this.outgoing.destroy()
  }

  /** Answers with an error of this instance. */
  refuse (error: LimpetwinchError): void {
    if (this.outgoing.destroyed) return
    if (this.hasResponseStarted) return this.cut()
    const body = JSON.stringify({ error: { code: error.code, message: error.message, outcome: error.outcome } })
    const retryAfter = error.status === 503 || error.status === 429 ? { 'retry-after': String(error.retryAfterSeconds ?? RETRY_AFTER_SECONDS) } : {}
    // The rest of a body that nobody reads would be taken for the next request.
    const unread = this.incoming.complete ? {} : { connection: 'close' }
    this.outgoing.writeHead(error.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...retryAfter, ...unread })
    this.outgoing.end(body)
  }
}

function headersToCaller (head: ResponseHead): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(head.headers)) {
    if (value !== undefined && !CONNECTION_HEADERS.has(name)) headers[name] = value
  }
  return headers
}
