/** Target that sends load through limpetwinch. */
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import { readEvents } from './event-reader.js'
import { CONNECTION_LOST, LoadTarget } from './load-target.js'
import type { LoadEnd, LoadRequest } from './load-target.js'

const errorSchema = z.object({ error: z.object({ code: z.string(), outcome: z.enum(['not_run', 'unknown']) }) })

interface Chunk {
  readonly choices?: readonly { readonly text?: string }[]
  readonly error?: unknown
}

/** One entry instance, to which requests for streamed text completions are sent. */
export class EntryTarget extends LoadTarget {
  override readonly name: string
  private readonly url: string
  private readonly keyOf: (team: string) => string
  private readonly agent = new Agent({ connections: 4096, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })

  /**
   * @param url - caller URL of the instance
   * @param keyOf - returns the API key of a team
   */
  constructor (url: string, keyOf: (team: string) => string) {
    super()
    this.name = url
    this.url = url
    this.keyOf = keyOf
  }

  override async send (loadRequest: LoadRequest, onText: (text: string) => void): Promise<LoadEnd> {
    try {
      const response = await this.post(loadRequest)
      if (response.statusCode !== 200) return failureOf(await response.body.text())
      return await this.read(response, onText)
    } catch (problem) {
      return transportFailure(problem)
    }
  }

  override async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async post (loadRequest: LoadRequest): Promise<Dispatcher.ResponseData> {
    const model = `${loadRequest.team}/${loadRequest.adapter}${loadRequest.version === undefined ? '' : `@${loadRequest.version}`}`
    return await request(`${this.url}/v1/completions`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${this.keyOf(loadRequest.team)}`,
        'content-type': 'application/json',
        'x-limpetwinch-class': loadRequest.priorityClass,
        ...(loadRequest.idempotent ? {} : { 'x-limpetwinch-idempotent': 'false' }),
        ...(loadRequest.key === undefined ? {} : { 'idempotency-key': loadRequest.key })
      },
      body: JSON.stringify({ model, prompt: loadRequest.prompt, max_tokens: loadRequest.maximumTokens, seed: loadRequest.seed, stream: true })
    })
  }

  private async read (response: Dispatcher.ResponseData, onText: (text: string) => void): Promise<LoadEnd> {
    let complete = false
    let failure: LoadEnd | undefined
    await readEvents(response.body, (data) => {
      if (data === '[DONE]') {
        complete = true
        return
      }
      const chunk = JSON.parse(data) as Chunk
      if (chunk.error !== undefined) failure = failureOf(data)
      const text = chunk.choices?.[0]?.text ?? ''
      if (text !== '') onText(text)
    })
    if (failure !== undefined) return failure
    // Without the end marker the response is truncated, even if the connection was closed normally.
    if (!complete) return { outcome: 'unknown', code: CONNECTION_LOST }
    const { 'x-limpetwinch-team': team, 'x-limpetwinch-adapter': adapter, 'x-limpetwinch-version': version } = response.headers
    return { outcome: 'answered', adapter: `${String(team)}/${String(adapter)}`, version: String(version) }
  }
}

function failureOf (body: string): LoadEnd {
  try {
    const { error } = errorSchema.parse(JSON.parse(body))
    return { outcome: error.outcome, code: error.code }
  } catch {
    return { outcome: 'unknown', code: 'unreadable-error' }
  }
}

function transportFailure (problem: unknown): LoadEnd {
  // No request can have run if no connection was established.
  if ((problem as { code?: string }).code === 'ECONNREFUSED') return { outcome: 'not_run', code: 'connection-refused' }
  return { outcome: 'unknown', code: CONNECTION_LOST }
}
