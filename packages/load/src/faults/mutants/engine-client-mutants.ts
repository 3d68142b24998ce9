/** Engine clients that send a request twice or falsify what the engine returned. */
import { HttpEngineClient, LimpetwinchError } from '@limpetwinch/core'
import type { EndpointId, EngineSettings, GenerateRequest, GenerationEventResult, RequestId } from '@limpetwinch/core'
import { FaultRunComponents } from '../fault-run-components.js'

type ClientClass = new (endpoint: EndpointId, base: string) => HttpEngineClient

/** Components that build the given class of engine client. */
export class MutantClientComponents extends FaultRunComponents {
  private readonly ClientClass: ClientClass

  /** @param clientClass - the class of the engine client to build */
  constructor (clientClass: ClientClass) {
    super()
    this.ClientClass = clientClass
  }

  override engineClient (engine: EngineSettings): HttpEngineClient {
    return new this.ClientClass(engine.endpoint, engine.url)
  }
}

/** Sends a request a second time when its stream fails with outcome `unknown`, although the engine may have run the request. */
export class RetryAfterSendClient extends HttpEngineClient {
  override async * generate (generation: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    for await (const result of super.generate(generation, signal)) {
      if (!result.ok && result.error.outcome === 'unknown' && !signal.aborted) {
        yield * super.generate({ ...generation, requestId: `${generation.requestId}~sent-again` as RequestId }, signal)
        return
      }
      yield result
    }
  }
}

/** Reports every failure with outcome `not_run`, also when the request may have run. */
export class ReportNotRunClient extends HttpEngineClient {
  override async * generate (generation: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    for await (const result of super.generate(generation, signal)) {
      if (result.ok) yield result
      else yield { ok: false, error: new LimpetwinchError(result.error.kind, { ...result.error.details }, { outcome: 'not_run' }) }
    }
  }
}

/** Drops the last part of each stream and reports one output token less, so that the token count matches what was delivered. */
export class DropLastPartClient extends HttpEngineClient {
  override async * generate (generation: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    let held: GenerationEventResult | undefined
    for await (const result of super.generate(generation, signal)) {
      if (result.ok && result.event.kind === 'part') {
        if (held !== undefined) yield held
        held = result
      } else if (result.ok && result.event.kind === 'end') {
        const { end } = result.event
        yield { ok: true, event: { kind: 'end', end: { ...end, outputTokens: Math.max(0, end.outputTokens - 1) } } }
      } else {
        yield result
      }
    }
  }
}

/** Replaces the text of a part by the latest text of another request's stream while several streams are open. */
export class SwapStreamsClient extends HttpEngineClient {
  private latestText: { readonly of: string, readonly text: string } | undefined

  override async * generate (generation: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    for await (const result of super.generate(generation, signal)) {
      if (!result.ok || result.event.kind !== 'part') {
        yield result
        continue
      }
      const { part } = result.event
      const other = this.latestText
      this.latestText = { of: generation.requestId, text: part.text }
      const swapped = other !== undefined && other.of !== generation.requestId
      yield swapped ? { ok: true, event: { kind: 'part', part: { ...part, text: other.text } } } : result
    }
  }
}
