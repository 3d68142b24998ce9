/** Tracks which prompt prefixes each engine has probably cached, from the prompts that this instance sent to the engine. */
import { LRUCache } from 'lru-cache'
import type { EndpointId } from '@limpetwinch/core'

/** Size of the blocks in which prefixes are compared. The end of a prompt that fills no whole block is not compared. */
const BLOCK_CHARACTERS = 256
/** Number of blocks that are compared of one prompt, which bounds the time and the cache entries that a long prompt costs. */
const MAXIMUM_BLOCKS = 32
/** Number of prefixes that are remembered for all endpoints together, to bound memory. */
const TRACKED_PREFIXES = 50_000

/** Remembers prompt prefixes by endpoint, and drops the least recently used prefixes first. */
export class PrefixTracker {
  private readonly cached = new LRUCache<string, true>({ max: TRACKED_PREFIXES })

  /** Records that a prompt was sent to an endpoint. */
  sent (endpoint: EndpointId, adapter: string | undefined, prompt: string): void {
    for (const key of keysOf(endpoint, adapter, prompt)) this.cached.set(key, true)
  }

  /** @returns the fraction of the prompt's compared blocks that the engine has probably cached, 0 to 1 */
  share (endpoint: EndpointId, adapter: string | undefined, prompt: string): number {
    const keys = keysOf(endpoint, adapter, prompt)
    if (keys.length === 0) return 0
    let found = 0
    while (found < keys.length && this.cached.get(keys[found] ?? '') === true) found += 1
    return found / keys.length
  }
}

/** Builds one cache key for each block of the prompt. Keys include the adapter, because cached states differ between adapters. */
function keysOf (endpoint: EndpointId, adapter: string | undefined, prompt: string): string[] {
  const blocks = Math.min(MAXIMUM_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS))
  const keys: string[] = []
  let hash = 0
  for (let block = 0; block < blocks; block += 1) {
    hash = hashBlock(prompt, block * BLOCK_CHARACTERS, hash)
    keys.push(`${endpoint} ${adapter ?? ''} ${block} ${hash}`)
  }
  return keys
}

/**
 * Hashes a block together with the hash of the blocks before it, so that a block only matches after the same prefix. A hash
 * collision only makes the estimate too high, which costs a little time.
 */
function hashBlock (text: string, start: number, seed: number): number {
  let hash = seed
  for (let index = start; index < start + BLOCK_CHARACTERS; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  return hash >>> 0
}
