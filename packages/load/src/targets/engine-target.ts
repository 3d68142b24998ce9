/** Target that sends load directly to a stand-in engine, for comparison. */
import { Agent, request } from 'undici'
import { readEvents } from './event-reader.js'
import { CONNECTION_LOST, LoadTarget } from './load-target.js'
import type { LoadEnd, LoadRequest } from './load-target.js'

interface EngineEvent {
  readonly text?: string
  readonly end?: unknown
}

const PRIORITY = 5

/** One engine. Requests use the base model, since only the owner of the engine loads adapters, and a step costs the same with or without an adapter. */
export class EngineTarget extends LoadTarget {
  override readonly name: string
  private readonly url: string
  private readonly agent = new Agent({ connections: 4096, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })

  /** @param url - URL of the engine */
  constructor (url: string) {
    super()
    this.name = url
    this.url = url
  }

  override async send (loadRequest: LoadRequest, onText: (text: string) => void): Promise<LoadEnd> {
    try {
      const response = await request(`${this.url}/generate`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          requestId: loadRequest.id,
          prompt: loadRequest.prompt,
          maximumTokens: loadRequest.maximumTokens,
          seed: loadRequest.seed,
          priority: PRIORITY
        })
      })
      if (response.statusCode !== 200) {
        await response.body.dump()
        return { outcome: 'not_run', code: `status-${response.statusCode}` }
      }
      let complete = false
      await readEvents(response.body, (data) => {
        const event = JSON.parse(data) as EngineEvent
        if (event.text !== undefined) onText(event.text)
        if (event.end !== undefined) complete = true
      })
      return complete ? { outcome: 'answered' } : { outcome: 'unknown', code: CONNECTION_LOST }
    } catch {
      return { outcome: 'unknown', code: CONNECTION_LOST }
    }
  }

  override async close (): Promise<void> {
    await this.agent.destroy()
  }
}
