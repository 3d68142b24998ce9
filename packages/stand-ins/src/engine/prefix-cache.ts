/** A prompt-prefix cache in limited memory, whose events come late and with gaps. */
import { createHash } from 'node:crypto'
import type { CacheEvent } from '@limpetwinch/core'

/** How the cache behaves. */
export interface PrefixCacheOptions {
  /** Prefixes kept; the least recently used one goes first. */
  readonly cacheEntries: number
  /** Milliseconds after which an event is published. */
  readonly cacheEventLag: number
  /** Of so many events one is never published; 0 publishes all. */
  readonly cacheGapEvery: number
}

interface DatedEvent extends CacheEvent {
  readonly at: number
}

/** Characters in one step of a prefix. */
export const PREFIX_BLOCK_CHARACTERS = 256
const MAXIMUM_KEPT_EVENTS = 4096
const MAXIMUM_EVENTS_PER_RESPONSE = 1024
const HASH_CHARACTERS = 16

/**
 * @param adapter - the adapter's name on the engine; a cached prefix belongs to one adapter
 * @param prefix - whole blocks of a prompt
 * @returns the hash under which the prefix is published
 */
export function prefixHash (adapter: string | undefined, prefix: string): string {
  return createHash('sha256').update(`${adapter ?? ''}\n${prefix}`).digest('hex').slice(0, HASH_CHARACTERS)
}

/** The prefixes held by one engine. */
export class PrefixCache {
  private readonly options: PrefixCacheOptions
  private readonly held = new Set<string>()
  private events: DatedEvent[] = []
  private sequence = 0

  /** @param options - size, lag and gaps */
  constructor (options: PrefixCacheOptions) {
    this.options = options
  }

  /**
   * Uses a prompt: what is cached of it counts as used, the rest is stored.
   *
   * @param adapter - the adapter's name on the engine
   * @param prompt - the whole prompt
   * @returns the share that was cached, 0 to 1
   */
  use (adapter: string | undefined, prompt: string): number {
    const prefixes = prefixesOf(adapter, prompt)
    let cached = 0
    while (cached < prefixes.length && this.held.has(prefixes[cached] ?? '')) cached += 1
    for (const prefix of prefixes) this.touch(prefix)
    return Math.min(1, cached * PREFIX_BLOCK_CHARACTERS / Math.max(1, prompt.length))
  }

  /** @returns published events after a sequence number */
  eventsAfter (sequence: number): readonly CacheEvent[] {
    const visible = performance.now() - this.options.cacheEventLag
    return this.events
      .filter((event) => event.sequence > sequence && event.at <= visible)
      .slice(0, MAXIMUM_EVENTS_PER_RESPONSE)
      .map(({ at, ...event }) => event)
  }

  /** Forgets all, as a cold restart does; sequence numbers go on. */
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

/** @returns hashes of the prefixes of 1, 2, 3 … whole blocks */
function prefixesOf (adapter: string | undefined, prompt: string): string[] {
  const blocks = Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS)
  return Array.from({ length: blocks }, (_, index) => prefixHash(adapter, prompt.slice(0, (index + 1) * PREFIX_BLOCK_CHARACTERS)))
}
