/** Engine clients that break what a caller is told. */
import { HttpEngineClient, LimpetwinchError } from '@limpetwinch/core'
import type { EndpointId, EngineSettings, GenerateRequest, GenerationEventResult, RequestId } from '@limpetwinch/core'
import { FaultRunComponents } from '../fault-run-components.js'

type ClientClass = new (endpoint: EndpointId, base: string) => HttpEngineClient

/** Parts with another engine client. */
export class MutantClientComponents extends FaultRunComponents {
  private readonly ClientClass: ClientClass

  /** @param client - the class of the client */
  constructor (client: ClientClass) {
    super()
    this.ClientClass = client
  }

  override engineClient (engine: EngineSettings): HttpEngineClient {
    return new this.ClientClass(engine.endpoint, engine.url)
  }
}

/** Sends a request anew when its stream breaks after it was sent. */
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

/** Says of every failure that nothing was run. */
export class ReportNotRunClient extends HttpEngineClient {
  override async * generate (generation: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerationEventResult> {
    for await (const result of super.generate(generation, signal)) {
      if (result.ok) yield result
      else yield { ok: false, error: new LimpetwinchError(result.error.kind, { ...result.error.details }, { outcome: 'not_run' }) }
    }
  }
}

/** Swallows the last part, and counts as if it had not been. */
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

/** Gives the text of one caller's stream to another while two are open. */
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
