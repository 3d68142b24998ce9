/** Which parts of prompts an engine probably still keeps, guessed from what was sent there. */
import { LRUCache } from 'lru-cache'
import type { EndpointId } from '@limpetwinch/core'
import type { PromptPart } from '../relay/request-codec.js'
import type { AdapterKey } from '../routes/configuration.js'

/** Part of an engine's memory that kept prompts are taken to have; the rest is in use by running requests. */
const CACHE_SHARE = 0.6

/** Guesses by engine. A wrong guess costs the reading of a part, not an answer. */
export class PrefixCacheEstimate {
  private readonly byEndpoint = new Map<EndpointId, LRUCache<string, true>>()

  /** Notes that an engine has read a prompt. */
  recordPrompt (endpoint: EndpointId, adapter: AdapterKey, parts: readonly PromptPart[], memoryTokens: number): void {
    if (memoryTokens <= 0) return
    let kept = this.byEndpoint.get(endpoint)
    if (kept === undefined) {
      kept = new LRUCache({ maxSize: Math.max(1, Math.floor(memoryTokens * CACHE_SHARE)) })
      this.byEndpoint.set(endpoint, kept)
    }
    let chain: string = adapter
    for (const part of parts) {
      chain = `${chain} ${part.id}`
      kept.set(chain, true, { size: Math.max(1, Math.ceil(part.tokens)) })
    }
  }

  /** @returns tokens of the prompt's beginning that need not be read again */
  cachedTokens (endpoint: EndpointId, adapter: AdapterKey, parts: readonly PromptPart[]): number {
    const kept = this.byEndpoint.get(endpoint)
    if (kept === undefined) return 0
    let chain: string = adapter
    let tokens = 0
    for (const part of parts) {
      chain = `${chain} ${part.id}`
      if (!kept.has(chain)) break
      tokens += part.tokens
    }
    return tokens
  }

  /** The engine is gone or started again: it keeps nothing. */
  forget (endpoint: EndpointId): void {
    this.byEndpoint.delete(endpoint)
  }
}
