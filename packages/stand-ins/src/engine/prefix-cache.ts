/** A cache of prompt prefixes with limited capacity, whose events are published with a delay and with gaps. */
import { createHash } from 'node:crypto'
import type { CacheEvent } from '@limpetwinch/core'

/** Options of the cache. */
export interface PrefixCacheOptions {
  /** Maximum number of cached prefixes; the least recently used prefix is evicted first. */
  readonly cacheEntries: number
  /** Delay until an event is published, in milliseconds. */
  readonly cacheEventLag: number
  /** One out of this many events is never published; 0 publishes all. */
  readonly cacheGapEvery: number
}

interface DatedEvent extends CacheEvent {
  readonly at: number
}

/** Number of characters in a block; prefixes consist of whole blocks. */
export const PREFIX_BLOCK_CHARACTERS = 256
const MAXIMUM_KEPT_EVENTS = 4096
const MAXIMUM_EVENTS_PER_RESPONSE = 1024
const HASH_CHARACTERS = 16

/**
 * @param adapter - name of the adapter on the engine; a cached prefix belongs to one adapter
 * @param prefix - whole blocks of a prompt
 * @returns the hash under which the prefix is published
 */
export function prefixHash (adapter: string | undefined, prefix: string): string {
  return createHash('sha256').update(`${adapter ?? ''}\n${prefix}`).digest('hex').slice(0, HASH_CHARACTERS)
}

/** The cached prefixes of one engine. */
export class PrefixCache {
  private readonly options: PrefixCacheOptions
  private readonly held = new Set<string>()
  private events: DatedEvent[] = []
  private sequence = 0

  /** @param options - capacity, delay and gaps of events */
  constructor (options: PrefixCacheOptions) {
    this.options = options
  }

  /**
   * Marks the cached prefixes of a prompt as used and stores the others.
   *
   * @param adapter - name of the adapter on the engine
   * @param prompt - the whole prompt
   * @returns the fraction of the prompt that was cached, 0 to 1
   */
  use (adapter: string | undefined, prompt: string): number {
    const prefixes = prefixesOf(adapter, prompt)
    let cached = 0
    while (cached < prefixes.length && this.held.has(prefixes[cached] ?? '')) cached += 1
    for (const prefix of prefixes) this.touch(prefix)
    return Math.min(1, cached * PREFIX_BLOCK_CHARACTERS / Math.max(1, prompt.length))
  }

  /** @returns the published events after a sequence number, limited in number */
  eventsAfter (sequence: number): readonly CacheEvent[] {
    const visibleUntil = performance.now() - this.options.cacheEventLag
    return this.events
      .filter((event) => event.sequence > sequence && event.at <= visibleUntil)
      .slice(0, MAXIMUM_EVENTS_PER_RESPONSE)
      .map(({ at, ...event }) => event)
  }

  /** Clears the cache, as a cold restart does; sequence numbers continue. */
  clear (): void {
    this.held.clear()
    this.events = []
  }

  private touch (prefix: string): void {
    if (this.held.delete(prefix)) {
      this.held.add(prefix)
      return
    }
    this.held.add(prefix)
    this.publish('stored', prefix)
    const oldest = this.held.values().next().value
    if (this.held.size <= this.options.cacheEntries || oldest === undefined) return
    this.held.delete(oldest)
    this.publish('evicted', oldest)
  }

  private publish (kind: CacheEvent['kind'], prefix: string): void {
    this.sequence += 1
    const { cacheGapEvery } = this.options
    if (cacheGapEvery > 0 && this.sequence % cacheGapEvery === 0) return
    this.events.push({ sequence: this.sequence, kind, prefix, at: performance.now() })
    if (this.events.length > 2 * MAXIMUM_KEPT_EVENTS) this.events = this.events.slice(-MAXIMUM_KEPT_EVENTS)
  }
}

/** @returns hashes of the prefixes that consist of 1, 2, 3 and so on whole blocks */
function prefixesOf (adapter: string | undefined, prompt: string): string[] {
  const blocks = Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS)
  return Array.from({ length: blocks }, (_, index) => prefixHash(adapter, prompt.slice(0, (index + 1) * PREFIX_BLOCK_CHARACTERS)))
}
