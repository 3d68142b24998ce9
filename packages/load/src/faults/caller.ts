/** A caller that records the requests it sends and the outcomes it receives. */
import { createParser } from 'eventsource-parser'
import { neverConnected } from '@limpetwinch/core'
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { z } from 'zod'
import type { HistoryLog } from './history-log.js'

/** One request that the load tool sends. */
export interface LoadRequest {
  readonly request: string
  readonly key: string | undefined
  readonly team: string
  /** Name of the adapter; undefined for a request to a plain service. */
  readonly adapter: string | undefined
  readonly version: string | undefined
  readonly idempotent: boolean
  readonly prompt: string
  readonly maximumTokens: number
  readonly seed: number
  readonly stream: boolean
  readonly deadlineMilliseconds: number
}

/** The instance that a request is sent to, and the key it is sent with. */
export interface CallerTarget {
  readonly instance: string
  /** Base URL of the caller interface of the instance. */
  readonly caller: string
  /** Key of the calling team. */
  readonly key: string
}

interface ReportedOutcome {
  readonly outcome: 'answered' | 'not_run' | 'unknown'
  readonly code?: string
  readonly model?: string | undefined
  readonly text?: string
}

/** Name of the plain service that the load tool calls. */
export const SERVICE = 'echo'

/** How long after its deadline the caller stops waiting for a request. */
const TIMEOUT_AFTER_DEADLINE_MILLISECONDS = 10_000
const CONNECTION_LOST: ReportedOutcome = { outcome: 'unknown', code: 'connection-lost' }

const errorSchema = z.object({ error: z.object({ code: z.string(), outcome: z.enum(['not_run', 'unknown']) }) })
const answerSchema = z.object({ model: z.string(), choices: z.tuple([z.object({ text: z.string() })]) })
const echoSchema = z.object({ body: z.string() })

/** Sends requests and records each request, each received part and each reported outcome in a history. */
export class RecordingCaller {
  private readonly agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  private readonly log: HistoryLog

  /** @param log - history log that receives the events */
  constructor (log: HistoryLog) {
    this.log = log
  }

  /**
   * Sends one request without retries. Resolves when the outcome is known, or ten seconds after the deadline of the
   * request. A request without an outcome by then gets no end event, so that the checker reports it as lost.
   *
   * @param load - the request
   * @param target - the instance and the key to use
   */
  async send (load: LoadRequest, target: CallerTarget): Promise<void> {
    const { request: name, key, team, adapter, version, idempotent, prompt, maximumTokens, seed } = load
    this.log.record({
      event: 'request-sent',
      request: name,
      team,
      idempotent,
      instance: target.instance,
      prompt,
      maximumTokens,
      seed,
      ...(key === undefined ? {} : { key }),
      ...(adapter === undefined ? { service: SERVICE } : { adapter }),
      ...(version === undefined ? {} : { version })
    })
    const reported = await this.exchange(load, target)
    if (reported === undefined) return
    const [servedAdapter, servedVersion] = reported.model?.split('@') ?? []
    this.log.record({
      event: 'request-ended',
      request: name,
      outcome: reported.outcome,
      ...(reported.code === undefined ? {} : { code: reported.code }),
      ...(servedAdapter === undefined ? {} : { adapter: servedAdapter }),
      ...(servedVersion === undefined ? {} : { version: servedVersion }),
      ...(reported.text === undefined ? {} : { text: reported.text })
    })
  }

  /** Closes all connections to the instances. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async exchange (load: LoadRequest, target: CallerTarget): Promise<ReportedOutcome | undefined> {
    const signal = AbortSignal.timeout(load.deadlineMilliseconds + TIMEOUT_AFTER_DEADLINE_MILLISECONDS)
    let response: Dispatcher.ResponseData
    try {
      response = await request(target.caller + pathOf(load), {
        method: 'POST', headers: headersOf(load, target.key), body: bodyOf(load), dispatcher: this.agent, signal
      })
    } catch (cause) {
      if (signal.aborted) return undefined
      return neverConnected(cause) ? { outcome: 'not_run', code: 'connection-refused' } : CONNECTION_LOST
    }
    try {
      if (response.statusCode === 200 && load.stream && load.adapter !== undefined) return await this.readStream(load, response)
      return parseCompleteResponse(load, response.statusCode, await response.body.text())
    } catch {
      return signal.aborted ? undefined : CONNECTION_LOST
    }
  }

  private async readStream (load: LoadRequest, response: Dispatcher.ResponseData): Promise<ReportedOutcome> {
    let reported: ReportedOutcome | undefined
    let model: string | undefined
    let position = 0
    const handleData = (data: string): void => {
      if (data === '[DONE]') {
        reported ??= { outcome: 'answered', model }
        return
      }
      const body: unknown = JSON.parse(data)
      const failed = errorSchema.safeParse(body)
      if (failed.success) {
        reported ??= { outcome: failed.data.error.outcome, code: failed.data.error.code }
        return
      }
      const chunk = answerSchema.parse(body)
      model = chunk.model
      const { text } = chunk.choices[0]
      if (text === '') return
      this.log.record({ event: 'request-part', request: load.request, position, text })
      position += 1
    }
    const parser = createParser({ onEvent: (event) => handleData(event.data) })
    const decoder = new TextDecoder('utf-8', { fatal: true })
    for await (const chunk of response.body as AsyncIterable<Buffer>) parser.feed(decoder.decode(chunk, { stream: true }))
    return reported ?? CONNECTION_LOST
  }
}

function parseCompleteResponse (load: LoadRequest, status: number, text: string): ReportedOutcome {
  const body: unknown = JSON.parse(text)
  if (status !== 200) {
    const { code, outcome } = errorSchema.parse(body).error
    return { outcome, code }
  }
  if (load.adapter === undefined) return { outcome: 'answered', text: echoSchema.parse(body).body }
  const answer = answerSchema.parse(body)
  return { outcome: 'answered', model: answer.model, text: answer.choices[0].text }
}

function pathOf (load: LoadRequest): string {
  return load.adapter === undefined ? `/services/${SERVICE}/run` : '/v1/completions'
}

function headersOf (load: LoadRequest, key: string): Record<string, string> {
  return {
    authorization: `Bearer ${key}`,
    'content-type': load.adapter === undefined ? 'text/plain' : 'application/json',
    'x-limpetwinch-idempotent': String(load.idempotent),
    'x-limpetwinch-deadline-ms': String(load.deadlineMilliseconds),
    ...(load.key === undefined ? {} : { 'idempotency-key': load.key })
  }
}

function bodyOf (load: LoadRequest): string {
  if (load.adapter === undefined) return load.prompt
  const version = load.version === undefined ? '' : `@${load.version}`
  const { prompt, seed, stream } = load
  return JSON.stringify({ model: `${load.team}/${load.adapter}${version}`, prompt, max_tokens: load.maximumTokens, seed, stream })
}
