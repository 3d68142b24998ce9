/**
 * The HTTP exchange with a caller, that is, one request and the response to it: reads the body of the request, writes the response and
 * detects whether the caller has disconnected.
 */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { LimpetwinchError } from '@limpetwinch/core'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ResponseHead } from './attempt.js'
import { HeldRequestBytes } from './held-request-bytes.js'
import { HeldResponseBytes } from './held-response-bytes.js'
import { RequestBody } from './request-body.js'

/** Hop-by-hop headers, which concern one connection only. Neither those of a request nor those of a response are forwarded. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length', 'http2-settings'
])
/** Default `retry-after` of an error response, in seconds, for errors that name no time of their own. */
const RETRY_AFTER_SECONDS = 0.5

/** One request of a caller and the response to it. */
export class CallerExchange {
  readonly incoming: IncomingMessage
  /** Whether the response is an error of this instance. */
  wasRefused = false
  private readonly outgoing: ServerResponse
  private readonly leaving = new AbortController()
  private readonly held: HeldRequestBytes
  private readonly body: RequestBody
  private readonly heldResponses: HeldResponseBytes
  private readonly holder = { drop: (): void => { this.cut() } }
  /** Bytes of a response that is kept and may be sent later. */
  private retainedBytes = 0
  /** Whether the rest of the request is read and dropped, so that the connection may be kept. */
  private isDiscarding = false
  /** Number of writes whose bytes have not left this process yet. */
  private unflushed = 0
  private whenFlushed: (() => void) | undefined
  private whenGone: (() => void) | undefined

  /**
   * @param held - counts the bytes of the bodies of all requests
   * @param heldResponses - counts the bytes of all responses; a caller that does not take its response keeps them until it leaves
   * @param onChunk - called for each chunk of the body that is read
   */
  constructor (incoming: IncomingMessage, outgoing: ServerResponse, held = new HeldRequestBytes(), heldResponses = new HeldResponseBytes(), onChunk?: () => void) {
    this.incoming = incoming
    this.outgoing = outgoing
    this.held = held
    this.body = new RequestBody(incoming, held, onChunk)
    this.heldResponses = heldResponses
    outgoing.on('close', () => this.disconnected())
    // A caller that resets its connection has left.
    outgoing.on('error', () => { this.leaving.abort() })
  }

  /** Aborted when the caller has left before it received the complete response. */
  get left (): AbortSignal {
    return this.leaving.signal
  }

  /**
   * Called when the response has ended or its connection was closed. The HTTP server tells a response of the latter only once it is the first one of its
   * connection, so the others must be told.
   */
  disconnected (): void {
    if (!this.outgoing.writableFinished) this.leaving.abort()
    this.body.release()
    this.heldResponses.set(this.holder, 0)
    this.whenGone?.()
  }

  /** Whether the response headers were sent. */
  get hasResponseStarted (): boolean {
    return this.outgoing.headersSent
  }

  /**
   * Reads the request body.
   *
   * @param maximumBytes - largest accepted body, bytes
   * @param ending - aborted when the request is out of time; the rest of its body is then not waited for
   * @returns the body, undefined when it is empty; or the error `body-too-large`, `bodies-fill-memory`, `body-timeout` or `request-ended-early`
   */
  async readBody (maximumBytes: number, ending?: AbortSignal): Promise<Result<Buffer | undefined, LimpetwinchError>> {
    const announcedBytes = Number(this.incoming.headers['content-length'] ?? 0)
    if (announcedBytes > maximumBytes) return err(new LimpetwinchError('body-too-large', { limit: maximumBytes }))
    if (!this.held.makeRoom(announcedBytes, 0, performance.now())) return this.discardBody()
    const received = await this.body.receive(maximumBytes, ending)
    return received.isErr() && received.error.kind === 'bodies-fill-memory' ? this.discardBody() : received
  }

  /** Closing the connection with unread bytes would reset it, and the caller might not get the answer that its request was not run. */
  private discardBody (): Result<never, LimpetwinchError> {
    this.isDiscarding = true
    this.body.discard()
    return err(new LimpetwinchError('bodies-fill-memory'))
  }

  /**
   * Selects the caller's headers that are forwarded to an endpoint.
   *
   * @param isSystemHeader - returns whether a header, named in lower case, must not be forwarded unchanged
   * @returns header names and values, alternating
   */
  headersForEndpoint (isSystemHeader: (name: string) => boolean): string[] {
    const { rawHeaders } = this.incoming
    const connectionOptions = new Set(String(this.incoming.headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim()))
    const headers: string[] = []
    for (let at = 0; at < rawHeaders.length; at += 2) {
      const name = rawHeaders[at] ?? ''
      const lower = name.toLowerCase()
      if (CONNECTION_HEADERS.has(lower) || connectionOptions.has(lower) || isSystemHeader(lower)) continue
      headers.push(name, rawHeaders[at + 1] ?? '')
    }
    return headers
  }

  /** Counts a response that is kept while another endpoint is asked, and that {@link answer} may send later. @param bytes - length of its body */
  retain (bytes: number): void {
    this.retainedBytes = bytes
    this.countResponse()
  }

  private countResponse (): void {
    if (!this.outgoing.destroyed && !this.left.aborted) this.heldResponses.set(this.holder, this.retainedBytes + this.outgoing.writableLength)
  }

  /** Sends the complete response of an endpoint. */
  answer (head: ResponseHead, body: Buffer): void {
    if (this.outgoing.destroyed || this.hasResponseStarted) return
    this.retainedBytes = 0
    this.outgoing.writeHead(head.status, { ...headersToCaller(head), 'content-length': body.length })
    this.write(body)
    this.end()
  }

  /** Sends the headers of a response whose body follows in parts. */
  beginResponse (head: ResponseHead): void {
    if (this.outgoing.destroyed || this.hasResponseStarted) return
    this.outgoing.writeHead(head.status, headersToCaller(head))
    this.outgoing.flushHeaders()
  }

  /** Writes a part of the body. @returns whether more may be written at once; otherwise wait for {@link drained} */
  write (bytes: Buffer): boolean {
    if (this.outgoing.destroyed) return true
    this.unflushed += 1
    const mayWriteMore = this.outgoing.write(bytes, this.flushed)
    this.countResponse()
    return mayWriteMore
  }

  /** Resolves when the write buffer is empty, or when the caller has left. */
  async drained (): Promise<void> {
    if (this.left.aborted || !this.outgoing.writableNeedDrain) return
    await once(this.outgoing, 'drain', { signal: this.left }).catch(() => {
      // The caller left. The `left` signal is aborted then, which also ends the attempt that writes here.
    })
  }

  /**
   * Ends the response once all its bytes have left this process. A connection whose response has ended counts as idle. An instance
   * that stops closes its idle connections, which would discard bytes that the caller has not read yet.
   */
  end (): void {
    if (this.unflushed === 0) this.outgoing.end()
    else this.whenFlushed = () => { this.outgoing.end() }
  }

  /** Resolves when the response has left this process, or when the caller has left. */
  async delivered (): Promise<void> {
    const { outgoing } = this
    if (outgoing.writableFinished || outgoing.closed || this.left.aborted) return
    await new Promise<void>((resolve) => {
      outgoing.once('finish', resolve)
      this.whenGone = resolve
    })
  }

  private readonly flushed = (): void => {
    this.unflushed -= 1
    this.countResponse()
    if (this.unflushed === 0) this.whenFlushed?.()
  }

  /** Closes the connection in the middle of a response, so that the caller cannot take the truncated response for a complete one. */
  cut (): void {
    this.outgoing.destroy()
  }

  /** Responds with an error of this instance, or truncates a response that has begun. */
  refuse (error: LimpetwinchError): void {
    if (this.outgoing.destroyed) return
    if (this.hasResponseStarted) return this.cut()
    this.wasRefused = true
    const body = JSON.stringify({ error: { code: error.code, message: error.message, outcome: error.outcome } })
    const retryAfter = error.status === 503 || error.status === 429 ? { 'retry-after': String(error.retryAfterSeconds ?? RETRY_AFTER_SECONDS) } : {}
    // If the connection were kept, the unread rest of the request body would be parsed as the next request.
    const unread = this.incoming.complete || this.isDiscarding ? {} : { connection: 'close' }
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
