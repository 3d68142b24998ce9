/** One attempt of a request on one endpoint: sends the HTTP request on a connection and checks that the response is complete and belongs to the request. */
import { ResponseProgressMeter } from '@limpetwinch/decisions'
import type { UnboundedKind } from '@limpetwinch/decisions'
import type { Dispatcher } from 'undici'
import { HeldResponseBytes } from './held-response-bytes.js'
import type { ResponseFacts, RequestCodec } from './request-codec.js'
import type { EndpointConnection } from './endpoint-connections.js'

/** The HTTP request that an attempt sends. */
export interface AttemptRequest {
  readonly requestId: string | undefined
  readonly method: string
  /** Path and query string. */
  readonly target: string
  /** Header names and values, alternating. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly facts: ResponseFacts
}

/**
 * What a chunk of a body became: `event` when it completed an event for the caller, `part` when it is a part of an answer that only its end
 * completes, `piece` when it is a piece of an event that is not complete yet, and `filler` when it is nothing that the caller waits for, such as a comment.
 */
export type ChunkUse = 'event' | 'part' | 'piece' | 'filler'

/** @returns whether the chunk brings the caller nearer to an answer */
export function isProgress (use: ChunkUse): boolean {
  return use === 'event' || use === 'part'
}

/** Receives a response as it arrives. */
export interface AttemptSink {
  /** Called once with the status and headers, after a check that the response belongs to this request. */
  head: (head: ResponseHead) => void
  /** Called with each chunk of the body, in order. @returns what the chunk became */
  data: (chunk: Buffer) => ChunkUse
}

/** Limits of one attempt. */
export interface AttemptLimits {
  /** Time for which bytes without progress are accepted, milliseconds. */
  readonly fillerMilliseconds: number
  /** Counts the bytes that all attempts of the instance hold. */
  readonly held: HeldResponseBytes
}

/** How an attempt ended. */
export type AttemptEnd =
  /** The response was received completely. */
  | { readonly kind: 'whole' }
  /** Nothing was sent, so the endpoint cannot have run the request. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The request was sent, and the response is missing, truncated or belongs to another request. */
  | { readonly kind: 'broken', readonly reason: string }
  /** This instance cancelled the attempt after the request was sent. */
  | { readonly kind: 'abandoned', readonly reason: string }

/** Largest status that HTTP defines a class for. */
const MAXIMUM_STATUS = 599
/** undici's error for headers or trailers beyond the size that it accepts. */
const HEADERS_OVERFLOW = 'UND_ERR_HEADERS_OVERFLOW'
/** Time for which bytes without progress are accepted when the caller of the class states none, milliseconds. */
const FILLER_MILLISECONDS = 500
/** Reasons of attempts that are ended because their response has no end. */
const UNBOUNDED_REASONS: Readonly<Record<UnboundedKind, string>> = {
  'filler-bytes': 'too many bytes that are no part of an answer',
  'filler-time': 'bytes that are no part of an answer for too long',
  head: 'header lines or trailers without an end',
  event: 'an event without an end',
  body: 'a body without an end'
}

/** How much of a response has arrived: nothing, its status and headers only, or a part of its body as well. */
export type ResponseProgress = 'none' | 'head' | 'body'

/** Sends one HTTP request and passes its response to a sink. */
export class Attempt {
  private readonly connection: EndpointConnection
  private readonly codec: RequestCodec
  private sent = false
  private connectionLost = false
  private head: ResponseHead | undefined
  private hasBody = false
  private abandonReason: string | undefined
  private isSettled = false
  private readonly meter: ResponseProgressMeter
  private readonly held: HeldResponseBytes
  private readonly holder = { drop: (reason: string): void => { this.fail(reason) } }
  private unbounded: UnboundedKind | undefined
  private settle: (end: AttemptEnd) => void = () => {}

  /**
   * @param connection - used by no other request until the attempt has ended
   * @param codec - reads the headers of the response
   * @param limits - bounds of the response
   */
  constructor (connection: EndpointConnection, codec: RequestCodec, limits: Partial<AttemptLimits> = {}) {
    this.connection = connection
    this.codec = codec
    this.meter = new ResponseProgressMeter(limits.fillerMilliseconds ?? FILLER_MILLISECONDS)
    this.held = limits.held ?? new HeldResponseBytes()
  }

  /** What makes the response one without an end; undefined unless it is. */
  get unboundedKind (): UnboundedKind | undefined {
    return this.unbounded
  }

  /**
   * Whether the connection may carry another request. Endpoints may send a response once more, late. Its id shows that it belongs to another
   * request; a copy without an id, of a refusal for example, would count as the refusal of a request that runs.
   */
  get reusable (): boolean {
    if (this.head === undefined || this.abandonReason !== undefined) return false
    return this.head.facts.requestId !== undefined && !namesClose(this.head.headers.connection)
  }

  /** Whether any byte of the request may have reached the endpoint. */
  get wasSent (): boolean {
    return this.sent
  }

  /** Whether the endpoint began to respond with the result of the request, and not with a proof that it did not run it. */
  get wasServed (): boolean {
    return this.head !== undefined && !this.head.facts.notRun
  }

  /** How much of the response has arrived. */
  get responseProgress (): ResponseProgress {
    if (this.head === undefined) return 'none'
    return this.hasBody ? 'body' : 'head'
  }

  /** Whether the end of the connection marked the end of the response. */
  get endedWithConnection (): boolean {
    return this.connection.bodyEndsWithConnection && this.connection.ended !== 'not'
  }

  /** Whether the endpoint or the network closed the connection after the request was sent. */
  get lostConnection (): boolean {
    return this.sent && this.abandonReason === undefined && this.connectionLost
  }

  /** Log fields that describe the response. */
  get logFields (): Readonly<Record<string, unknown>> {
    const { headers, facts } = this.head ?? {}
    const framing = headers?.['content-length'] !== undefined ? 'length' : headers?.['transfer-encoding'] !== undefined ? 'chunks' : 'end'
    const { ended, isReused, connectMilliseconds, via } = this.connection
    return { status: this.head?.status, framing, connection: ended, reused: isReused, via, connectMilliseconds, unbounded: this.unbounded, rateLimit: facts?.rateLimit, backoffMilliseconds: facts?.backoffMilliseconds, endpointLeaving: facts?.isLeaving === true ? true : undefined }
  }

  /** Cancels the attempt by closing the connection, so that the endpoint drops the request. */
  abandon (reason: string): void {
    if (this.abandonReason !== undefined) return
    if (this.meter.isBodyEndless(performance.now())) this.unbounded = 'body'
    this.abandonReason = reason
    this.connection.destroy()
    this.settle(this.sent ? { kind: 'abandoned', reason } : { kind: 'not-sent', reason })
  }

  /** Ends the attempt because its response has no end. */
  failUnbounded (kind: UnboundedKind): void {
    if (this.abandonReason !== undefined) return
    this.unbounded = kind
    this.fail(UNBOUNDED_REASONS[kind])
  }

  /** Ends the attempt if bytes without progress have arrived often; called when the endpoint has sent another response without an end. */
  failIfFiller (): void {
    if (this.meter.hasFiller) this.failUnbounded('filler-time')
  }

  /**
   * Records how many bytes of the response its receiver holds.
   *
   * @param maximumBytes - most bytes that one response may hold; the attempt ends when there are more
   * @param kind - what a response with more bytes is
   * @returns whether the attempt goes on
   */
  holds (bytes: number, maximumBytes: number, kind: 'event' | 'body'): boolean {
    if (bytes > maximumBytes) this.failUnbounded(kind)
    else this.held.set(this.holder, bytes)
    return this.abandonReason === undefined
  }

  /** Stops reading the body while the caller reads more slowly than the endpoint sends. */
  pause (): void {
    if (this.isSettled) return
    this.meter.pause()
    this.connection.pause()
  }

  /** Continues reading the body. */
  resume (): void {
    if (this.isSettled) return
    this.meter.resume(this.connection.bytesRead)
    this.connection.resume()
  }

  /** Sends the request and passes the response to the sink. @returns how the attempt ended; the promise never rejects */
  async run (request: AttemptRequest, sink: AttemptSink): Promise<AttemptEnd> {
    return await new Promise<AttemptEnd>((resolve) => {
      this.settle = (end) => {
        this.isSettled = true
        this.held.set(this.holder, 0)
        this.connection.onArrival = undefined
        this.connection.resume()
        resolve(end)
      }
      this.connection.client.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: [...request.headers],
        body: request.body ?? null
      }, this.handler(request, sink))
    })
  }

  private handler (request: AttemptRequest, sink: AttemptSink): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        // undici sends a request again when its connection was closed in a way that undici considers harmless. The endpoint may
        // have begun to run the request already, and only the callers of this class know whether a retry is allowed.
        if (this.sent) return controller.abort(new Error('it would have been sent twice'))
        this.sent = true
        this.connection.onArrival = (bytesRead) => this.checkArrival(bytesRead)
        this.connection.followArrivals()
      },
      onResponseStart: (_controller, status, headers) => {
        if (status < 200) return
        if (status > MAXIMUM_STATUS) return this.fail('the answer has no valid status')
        this.meter.progressed()
        const facts = this.codec.readResponse(status, headers)
        this.head = { status, headers, facts }
        const foreign = request.requestId !== undefined && facts.requestId !== undefined && facts.requestId !== request.requestId
        if (foreign) return this.fail('the answer belongs to another request')
        if (facts.encoded) return this.fail('the answer was encoded on its way')
        this.connection.bodyEndsWithConnection = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
        sink.head(this.head)
      },
      onResponseData: (_controller, chunk) => {
        if (this.abandonReason === undefined) this.pass(chunk, sink)
      },
      onResponseEnd: () => {
        if (this.abandonReason !== undefined) return
        void this.endOfResponse().then((end) => this.settle(end))
      },
      onResponseError: (_controller, error) => {
        if (this.abandonReason !== undefined) return
        const isOverflow = (error as NodeJS.ErrnoException).code === HEADERS_OVERFLOW
        if (isOverflow) return this.failUnbounded('head')
        this.connectionLost = true
        this.settle(this.sent ? { kind: 'broken', reason: error.message } : { kind: 'not-sent', reason: error.message })
      }
    }
  }

  private pass (chunk: Buffer, sink: AttemptSink): void {
    const use = sink.data(chunk)
    if (use === 'piece') this.meter.pieceArrived(chunk.length)
    if (!isProgress(use)) return
    this.hasBody = true
    this.meter.progressed()
    if (use === 'part') this.meter.bodyArrived(performance.now())
  }

  private checkArrival (bytesRead: number): void {
    if (this.abandonReason !== undefined) return
    const fault = this.meter.arrived(bytesRead, performance.now())
    if (fault !== undefined) this.failUnbounded(fault)
  }

  /**
   * A response whose end was read before its connection closed is complete. A response that ended when its connection closed is complete
   * only if the end of the connection delimits its body and the endpoint closed the connection on purpose.
   *
   * @returns how the attempt ended
   */
  private async endOfResponse (): Promise<AttemptEnd> {
    const { ended, bodyEndsWithConnection } = this.connection
    if (ended === 'not') return { kind: 'whole' }
    const isComplete = bodyEndsWithConnection && await this.connection.endedOnPurpose()
    this.connectionLost = !isComplete
    return isComplete ? { kind: 'whole' } : { kind: 'broken', reason: 'the connection was cut before the end of the answer' }
  }

  private fail (reason: string): void {
    this.abandonReason = reason
    this.connection.destroy()
    this.settle({ kind: 'broken', reason })
  }
}

/** @returns whether a `connection` header announces that the connection will be closed, alone or among other options */
function namesClose (header: string | string[] | undefined): boolean {
  return [header ?? []].flat().some((value) => value.split(',').some((option) => option.trim().toLowerCase() === 'close'))
}
