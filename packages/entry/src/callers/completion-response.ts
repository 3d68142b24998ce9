/** Writes completion responses in the OpenAI formats directly to the connection, streamed or as one JSON document. */
import type { ServerResponse } from 'node:http'
import type { LimpetwinchError, RequestId } from '@limpetwinch/core'
import type { CompletionForm } from './completion-request.js'
import { errorBody, errorHeaders, REQUEST_ID_HEADER } from './error-response.js'

/** Identifies a request and the adapter version that serves it. Every completion response carries these values. */
export interface ResponseIdentity {
  readonly requestId: RequestId
  readonly team: string
  readonly adapter: string
  readonly version: string
}

/** Finish reason and token counts of a completion. */
export interface CompletionEnd {
  readonly finishReason: string
  readonly promptTokens: number
  readonly outputTokens: number
}

/** Writes the response to one completion request. */
export abstract class CompletionResponse {
  protected readonly created = Math.floor(Date.now() / 1000)

  /**
   * @param response - the HTTP response to write to
   * @param form - the format of the request, chat or text
   * @param identity - the request and the adapter version that serves it
   */
  constructor (protected readonly response: ServerResponse, protected readonly form: CompletionForm, protected readonly identity: ResponseIdentity) {}

  /**
   * Adds a piece of text. Resolves when the connection accepts more data, so that a slow caller slows down only its own
   * stream.
   */
  abstract text (text: string): Promise<void>

  /** Completes the response with the finish reason and the token counts. */
  abstract end (end: CompletionEnd): void

  /** Ends the response with an error. */
  abstract endWithError (error: LimpetwinchError): void

  protected get modelName (): string {
    return `${this.identity.team}/${this.identity.adapter}@${this.identity.version}`
  }

  protected headers (contentType: string): Record<string, string> {
    return {
      'content-type': contentType,
      'cache-control': 'no-cache',
      [REQUEST_ID_HEADER]: this.identity.requestId,
      'x-limpetwinch-team': this.identity.team,
      'x-limpetwinch-adapter': this.identity.adapter,
      'x-limpetwinch-version': this.identity.version
    }
  }

  protected body (kind: 'whole' | 'chunk', choice: Record<string, unknown>, usage: CompletionEnd | undefined): Record<string, unknown> {
    const chatObject = kind === 'whole' ? 'chat.completion' : 'chat.completion.chunk'
    return {
      id: this.identity.requestId,
      object: this.form === 'chat' ? chatObject : 'text_completion',
      created: this.created,
      model: this.modelName,
      choices: [{ index: 0, ...choice }],
      ...(usage === undefined ? {} : { usage: usageOf(usage) })
    }
  }

  protected sendError (error: LimpetwinchError): void {
    const { requestId } = this.identity
    this.response.writeHead(error.status, errorHeaders(error, requestId))
    this.response.end(JSON.stringify(errorBody(error, requestId)))
  }
}

/** Collects the text and sends the response as one JSON document at the end. */
export class JsonCompletionResponse extends CompletionResponse {
  private readonly texts: string[] = []

  override async text (text: string): Promise<void> {
    this.texts.push(text)
  }

  override end (end: CompletionEnd): void {
    const text = this.texts.join('')
    const content = this.form === 'chat' ? { message: { role: 'assistant', content: text } } : { text }
    const body = this.body('whole', { ...content, finish_reason: end.finishReason }, end)
    this.response.writeHead(200, this.headers('application/json'))
    this.response.end(JSON.stringify(body))
  }

  override endWithError (error: LimpetwinchError): void {
    this.sendError(error)
  }
}

/**
 * Placeholder for the text in the chunk template. It contains null characters, which no team, adapter or version name may
 * contain.
 */
const TEXT_PLACEHOLDER = '\u0000text\u0000'

/** Streams the response as server-sent events that end with `[DONE]`. A stream without `[DONE]` is an incomplete response. */
export class StreamedCompletionResponse extends CompletionResponse {
  /** The parts of a chunk before and after its text. They are the same for each token, so they are serialized only once. */
  private chunkTemplate: { readonly before: string, readonly after: string } | undefined

  override async text (text: string): Promise<void> {
    const { before, after } = this.begin()
    const acceptsMore = this.response.write(before + JSON.stringify(text) + after)
    if (!acceptsMore && !this.response.destroyed) await waitForDrain(this.response)
  }

  override end (end: CompletionEnd): void {
    this.begin()
    const content = this.form === 'chat' ? { delta: {} } : { text: '' }
    const last = this.body('chunk', { ...content, finish_reason: end.finishReason }, end)
    this.response.end(`data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`)
  }

  override endWithError (error: LimpetwinchError): void {
    if (this.chunkTemplate === undefined) return this.sendError(error)
    this.response.end(`data: ${JSON.stringify(errorBody(error, this.identity.requestId))}\n\n`)
  }

  private begin (): { readonly before: string, readonly after: string } {
    if (this.chunkTemplate !== undefined) return this.chunkTemplate
    this.response.writeHead(200, this.headers('text/event-stream'))
    const content = this.form === 'chat' ? { delta: { content: TEXT_PLACEHOLDER } } : { text: TEXT_PLACEHOLDER }
    const chunk = JSON.stringify(this.body('chunk', { ...content, finish_reason: null }, undefined))
    const [before = '', after = ''] = chunk.split(JSON.stringify(TEXT_PLACEHOLDER))
    this.chunkTemplate = { before: `data: ${before}`, after: `${after}\n\n` }
    return this.chunkTemplate
  }
}

async function waitForDrain (response: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    response.on('drain', finish)
    response.on('close', finish)
  })
}

function usageOf (end: CompletionEnd): Record<string, number> {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.outputTokens,
    total_tokens: end.promptTokens + end.outputTokens
  }
}
