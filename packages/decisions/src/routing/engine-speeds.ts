/**
 * How fast engines are, from what their streams show.
 *
 * Engines of one service differ in speed, and nobody says by how much. While an engine reads a long prompt all its streams
 * stand still: on one that is a third slower the pause grows beyond what callers bear, and each stream there is late. The
 * spacing of events tells the engines apart within a few streams; how many tokens are read in a millisecond is the same
 * for all of them but for that factor, and is learnt from long prompts on any of them.
 */

/** Prompt tokens read in a millisecond before anything is learnt. */
const FIRST_TOKENS_FOR_MILLISECOND = 35
/** Prompts from this size on tell how fast they are read; in shorter ones the way there and back counts for more. */
const LEAST_PROMPT_TOKENS = 2_000
/** Weight of the newest sample. */
const SMOOTHING = 0.2
/** Streams after which an engine's spacing is believed. */
const LEAST_STREAMS = 3
/** One sample changes the reading speed by no more than this factor: a prompt may have waited for others. */
const MOST_CHANGE = 2
const MOST_SLOWNESS = 6

interface Spacing {
  milliseconds: number
  streams: number
}

/** Speeds of the engines of one deployment. */
export class EngineSpeeds {
  private readonly spacings = new Map<string, Spacing>()
  private tokensForMillisecond = FIRST_TOKENS_FOR_MILLISECOND

  /** A stream's events came this far apart while nothing held them up. */
  spacingSeen (endpoint: string, milliseconds: number): void {
    const spacing = this.spacings.get(endpoint)
    if (spacing === undefined) {
      this.spacings.set(endpoint, { milliseconds, streams: 1 })
      return
    }
    spacing.streams += 1
    spacing.milliseconds += SMOOTHING * (milliseconds - spacing.milliseconds)
  }

  /** So many prompt tokens were read in this time. */
  readingSeen (endpoint: string, tokens: number, milliseconds: number): void {
    if (tokens < LEAST_PROMPT_TOKENS || milliseconds <= 0) return
    const sample = tokens / milliseconds * this.slowness(endpoint)
    const before = this.tokensForMillisecond
    const bounded = Math.min(before * MOST_CHANGE, Math.max(before / MOST_CHANGE, sample))
    this.tokensForMillisecond += SMOOTHING * (bounded - before)
  }

  /** @returns how many times slower the engine is than the fastest one known; 1 while nothing is known of it */
  slowness (endpoint: string): number {
    const spacing = this.spacings.get(endpoint)
    if (spacing === undefined || spacing.streams < LEAST_STREAMS) return 1
    let fastest = spacing.milliseconds
    for (const { milliseconds, streams } of this.spacings.values()) if (streams >= LEAST_STREAMS) fastest = Math.min(fastest, milliseconds)
    return Math.min(MOST_SLOWNESS, spacing.milliseconds / fastest)
  }

  /** @returns milliseconds that the engine takes to read so many prompt tokens */
  readingMilliseconds (endpoint: string, tokens: number): number {
    return tokens / this.tokensForMillisecond * this.slowness(endpoint)
  }

  /** The engine is gone or started again. */
  forget (endpoint: string): void {
    this.spacings.delete(endpoint)
  }
}
