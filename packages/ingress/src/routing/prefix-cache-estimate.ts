/** Estimates which beginnings of prompts an engine has cached, from the prompts that this instance has sent to the engine. */
import { LRUCache } from 'lru-cache'
import type { EndpointId } from '@limpetwinch/core'
import type { PromptPart } from '../relay/request-codec.js'
import type { AdapterKey } from '../routes/configuration.js'

/** Share of the engine's memory that is assumed to hold cached prompts; running requests use the rest. */
const CACHE_SHARE = 0.6

/**
 * Estimates for all engines, each a least-recently-used cache of prompt beginnings. When an estimate is wrong, the engine has to read a part of
 * the prompt again; no response is lost.
 */
export class PrefixCacheEstimate {
  private readonly byEndpoint = new Map<EndpointId, LRUCache<string, true>>()

  /**
   * Records that an engine has read a prompt.
   *
   * @param memoryTokens - memory of the engine for prompts and output, in tokens
   */
  recordPrompt (endpoint: EndpointId, adapter: AdapterKey, parts: readonly PromptPart[], memoryTokens: number): void {
    if (memoryTokens <= 0) return
    let cached = this.byEndpoint.get(endpoint)
    if (cached === undefined) {
      cached = new LRUCache({ maxSize: Math.max(1, Math.floor(memoryTokens * CACHE_SHARE)) })
      this.byEndpoint.set(endpoint, cached)
    }
    let prefixKey: string = adapter
    for (const part of parts) {
      prefixKey = `${prefixKey} ${part.id}`
      cached.set(prefixKey, true, { size: Math.max(1, Math.ceil(part.tokens)) })
    }
  }

  /** @returns number of tokens at the beginning of the prompt that the engine probably need not read again */
  cachedTokens (endpoint: EndpointId, adapter: AdapterKey, parts: readonly PromptPart[]): number {
    const cached = this.byEndpoint.get(endpoint)
    if (cached === undefined) return 0
    let prefixKey: string = adapter
    let tokens = 0
    for (const part of parts) {
      prefixKey = `${prefixKey} ${part.id}`
      if (!cached.has(prefixKey)) break
      tokens += part.tokens
    }
    return tokens
  }

  /** Forgets the estimate for an engine that has left or was restarted: the cache of a restarted engine is empty. */
  forget (endpoint: EndpointId): void {
    this.byEndpoint.delete(endpoint)
  }
}
