/** One try of a request on one endpoint. */
import type { Dispatcher } from 'undici'
import type { ResponseFacts, RequestCodec } from './request-codec.js'
import type { EndpointConnection } from './endpoint-connections.js'

/** What is sent. */
export interface AttemptRequest {
  readonly requestId: string | undefined
  readonly method: string
  /** Path and query. */
  readonly target: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
}

/** The start of an answer. */
export interface ResponseHead {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly facts: ResponseFacts
}

/** Takes an answer as it comes. */
export interface AttemptSink {
  /** The answer has begun and is this request's own. */
  head: (head: ResponseHead) => void
  /** Bytes of the body, in order. */
  data: (chunk: Buffer) => void
}

/** How a try ended. */
export type AttemptEnd =
  /** The answer came to its end. */
  | { readonly kind: 'whole' }
  /** Nothing was sent: the endpoint cannot have run it. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** It was sent, and the answer is missing, cut or not this request's. */
  | { readonly kind: 'broken', readonly reason: string }
  /** This instance gave it up. */
  | { readonly kind: 'abandoned', readonly reason: string }

/** Runs one try. */
export class Attempt {
  private readonly connection: EndpointConnection
  private readonly codec: RequestCodec
  private sent = false
  private connectionLost = false
  private head: ResponseHead | undefined
  private abandonReason: string | undefined
  private controller: Dispatcher.DispatchController | undefined
  private settle: (end: AttemptEnd) => void = () => {}

  /**
   * @param connection - nobody else uses it meanwhile
   * @param codec - reads the answer's headers
   */
  constructor (connection: EndpointConnection, codec: RequestCodec) {
    this.connection = connection
    this.codec = codec
  }

  /** Whether the connection may carry another request. */
  get reusable (): boolean {
    return this.head !== undefined && this.abandonReason === undefined && String(this.head.headers.connection ?? '').toLowerCase() !== 'close'
  }

  /** Whether any byte may have reached the endpoint. */
  get wasSent (): boolean {
    return this.sent
  }

  /** Whether the other side, or the link to it, ended the connection after the request was sent. */
  get lostConnection (): boolean {
    return this.sent && this.abandonReason === undefined && this.connectionLost
  }

  /** What the log says of the answer. */
  get logFields (): { readonly status: number | undefined, readonly framing: string, readonly connection: string } {
    const headers = this.head?.headers
    const framing = headers?.['content-length'] !== undefined ? 'length' : headers?.['transfer-encoding'] !== undefined ? 'chunks' : 'end'
    return { status: this.head?.status, framing, connection: this.connection.ended }
  }

  /** Gives the try up: the connection ends, and the endpoint drops the request. */
  abandon (reason: string): void {
    if (this.abandonReason !== undefined) return
    this.abandonReason = reason
    this.connection.destroy()
    this.settle(this.sent ? { kind: 'abandoned', reason } : { kind: 'not-sent', reason })
  }

  /** Holds the body back while its reader is slower. */
  pause (): void {
    this.controller?.pause()
  }

  /** Lets the body come again. */
  resume (): void {
    this.controller?.resume()
  }

  /** Sends the request and hands the answer to the sink. @returns how it ended; it never rejects */
  async run (request: AttemptRequest, sink: AttemptSink): Promise<AttemptEnd> {
    return await new Promise<AttemptEnd>((resolve) => {
      this.settle = resolve
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
        // After a connection ends in a way that undici takes for harmless it sends what was under way once more. The
        // endpoint may have begun with the first; only this class's callers know whether it may be repeated.
        if (this.sent) return controller.abort(new Error('it would have been sent twice'))
        this.sent = true
        this.controller = controller
      },
      onResponseStart: (_controller, status, headers) => {
        if (status < 200) return
        const facts = this.codec.readResponse(status, headers)
        this.head = { status, headers, facts }
        const foreign = request.requestId !== undefined && facts.requestId !== undefined && facts.requestId !== request.requestId
        if (foreign) return this.fail('the answer belongs to another request')
        if (facts.encoded) return this.fail('the answer was encoded on its way')
        this.connection.bodyEndsWithConnection = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
        sink.head(this.head)
      },
      onResponseData: (_controller, chunk) => {
        if (this.abandonReason === undefined) sink.data(chunk)
      },
      onResponseEnd: () => {
        if (this.abandonReason !== undefined) return
        void this.endOfResponse().then((end) => this.settle(end))
      },
      onResponseError: (_controller, error) => {
        if (this.abandonReason !== undefined) return
        this.connectionLost = true
        this.settle(this.sent ? { kind: 'broken', reason: error.message } : { kind: 'not-sent', reason: error.message })
      }
    }
  }

  /** An answer whose end was read before its connection ended is whole; one that ended with it only if it may. */
  private async endOfResponse (): Promise<AttemptEnd> {
    const { ended, bodyEndsWithConnection: awaitsEnd } = this.connection
    if (ended === 'not') return { kind: 'whole' }
    const whole = awaitsEnd && await this.connection.endedOnPurpose()
    this.connectionLost = !whole
    return whole ? { kind: 'whole' } : { kind: 'broken', reason: 'the connection was cut before the end of the answer' }
  }

  private fail (reason: string): void {
    this.abandonReason = reason
    this.connection.destroy()
    this.settle({ kind: 'broken', reason })
  }
}
