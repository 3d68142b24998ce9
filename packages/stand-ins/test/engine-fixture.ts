/** Helpers for the tests of the stand-in engine. */
import { HttpEngineClient } from '@limpetwinch/core'
import type { AdapterOrder, AdapterName, AdapterReference, AdapterVersion, EndpointId, FencingToken, GeneratedPart, GenerateRequest, GenerationEnd, GenerationEventResult, LimpetwinchError, LoadedName, RequestId, TeamId } from '@limpetwinch/core'
import { StandInEngine } from '@limpetwinch/stand-ins'
import type { EngineFaults, StandInEngineOptions } from '@limpetwinch/stand-ins'
import { onTestFinished } from 'vitest'

export const ADAPTER = 'team/poet@1' as LoadedName

/** The events received from one stream. */
export interface Received {
  readonly parts: GeneratedPart[]
  end: GenerationEnd | undefined
  error: LimpetwinchError | undefined
}

export async function startEngine (options: Partial<StandInEngineOptions> = {}): Promise<{ engine: StandInEngine, client: HttpEngineClient }> {
  const engine = new StandInEngine({ stepMilliseconds: 1, loadMilliseconds: 1, reportLag: 0, reportInterval: 5, ...options })
  await engine.listen()
  const client = new HttpEngineClient('engine' as EndpointId, engine.url)
  onTestFinished(async () => {
    await client.close()
    await engine.close()
  })
  return { engine, client }
}

export function order (name: string, token = 1): AdapterOrder {
  return { name: name as LoadedName, token: token as FencingToken }
}

export function sourceOf (name: string): AdapterReference {
  const [team = '', adapter = '', version = ''] = name.split(/[/@~]/)
  return { team: team as TeamId, adapter: adapter as AdapterName, version: version as AdapterVersion }
}

export function question (requestId: string, more: Partial<GenerateRequest> = {}): GenerateRequest {
  return { requestId: requestId as RequestId, adapter: ADAPTER, prompt: `prompt of ${requestId}`, maximumTokens: 10, priority: 5, ...more }
}

export async function receive (stream: AsyncIterable<GenerationEventResult>): Promise<Received> {
  const received: Received = { parts: [], end: undefined, error: undefined }
  for await (const result of stream) {
    if (!result.ok) received.error = result.error
    else if (result.event.kind === 'part') received.parts.push(result.event.part)
    else received.end = result.event.end
  }
  return received
}

export function textOf (parts: readonly GeneratedPart[]): string {
  return parts.map((part) => part.text).join('')
}

export async function setFaults (url: string, faults: EngineFaults): Promise<number> {
  const answer = await fetch(`${url}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })
  return answer.status
}

export function forever (): AbortSignal {
  return new AbortController().signal
}
