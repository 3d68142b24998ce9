/**
 * How fast engines are, from what their streams show.
 *
 * Engines of one service differ in speed, and nobody says by how much. While an engine reads a long prompt all its streams
 * stand still: on one that is a third slower the pause grows beyond what callers bear, and each stream there is late. The
 * spacing of events tells the engines apart within a few streams; how many tokens are read in a millisecond is the same
 * for all of them but for that factor, and is learnt from long prompts on any of them.
 */

/** Prompt tokens read in a millisecond before anything is learnt. */
const INITIAL_PREFILL_TOKENS_PER_MILLISECOND = 35
/** Prompts from this size on tell how fast they are read; in shorter ones the way there and back counts for more. */
const MINIMUM_PROMPT_TOKENS = 2_000
/** Weight of the newest sample. */
const SMOOTHING_FACTOR = 0.2
/** Streams after which an engine's spacing is believed. */
const MINIMUM_STREAMS = 3
/** One sample changes the reading speed by no more than this factor: a prompt may have waited for others. */
const MAXIMUM_CHANGE_FACTOR = 2
const MAXIMUM_SLOWNESS = 6

interface Spacing {
  milliseconds: number
  streams: number
}

/** Speeds of the engines of one deployment. */
export class EngineSpeeds {
  private readonly spacings = new Map<string, Spacing>()
  private prefillTokensPerMillisecond = INITIAL_PREFILL_TOKENS_PER_MILLISECOND

  /** A stream's events came this far apart while nothing held them up. */
  recordEventSpacing (endpoint: string, milliseconds: number): void {
    const spacing = this.spacings.get(endpoint)
    if (spacing === undefined) {
      this.spacings.set(endpoint, { milliseconds, streams: 1 })
      return
    }
    spacing.streams += 1
    spacing.milliseconds += SMOOTHING_FACTOR * (milliseconds - spacing.milliseconds)
  }

  /** So many prompt tokens were read in this time. */
  recordPrefill (endpoint: string, tokens: number, milliseconds: number): void {
    if (tokens < MINIMUM_PROMPT_TOKENS || milliseconds <= 0) return
    const sample = tokens / milliseconds * this.slowness(endpoint)
    const before = this.prefillTokensPerMillisecond
    const bounded = Math.min(before * MAXIMUM_CHANGE_FACTOR, Math.max(before / MAXIMUM_CHANGE_FACTOR, sample))
    this.prefillTokensPerMillisecond += SMOOTHING_FACTOR * (bounded - before)
  }

  /** @returns how many times slower the engine is than the fastest one known; 1 while nothing is known of it */
  slowness (endpoint: string): number {
    const spacing = this.spacings.get(endpoint)
    if (spacing === undefined || spacing.streams < MINIMUM_STREAMS) return 1
    let fastest = spacing.milliseconds
    for (const { milliseconds, streams } of this.spacings.values()) if (streams >= MINIMUM_STREAMS) fastest = Math.min(fastest, milliseconds)
    return Math.min(MAXIMUM_SLOWNESS, spacing.milliseconds / fastest)
  }

  /** @returns milliseconds that the engine takes to read so many prompt tokens */
  prefillMilliseconds (endpoint: string, tokens: number): number {
    return tokens / this.prefillTokensPerMillisecond * this.slowness(endpoint)
  }

  /** The engine is gone or started again. */
  forget (endpoint: string): void {
    this.spacings.delete(endpoint)
  }
}
