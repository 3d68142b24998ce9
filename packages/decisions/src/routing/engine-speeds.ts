/** Estimates how fast the engines are relative to each other, from the response streams that they produce. */

/** Prefill rate assumed for the fastest engine before any prompt was measured. Prefill is the processing of the prompt before the first output. */
const INITIAL_PREFILL_TOKENS_PER_MILLISECOND = 35
/** Prompts below this size are not measured, since network delay dominates the time until their first event. */
const MINIMUM_PROMPT_TOKENS = 2_000
/** Weight of the latest sample in the moving averages of event spacing and prefill rate. */
const SMOOTHING_FACTOR = 0.2
/** Number of measured streams needed before the event spacing of an engine is used. */
const MINIMUM_STREAMS = 3
/**
 * Bounds the factor by which a sample may differ from the current prefill rate, since the prompt may have waited for the prefill
 * of other prompts.
 */
const MAXIMUM_CHANGE_FACTOR = 2
/** Upper bound of {@link EngineSpeeds.slowness}, the factor by which an engine is slower than the fastest one. */
const MAXIMUM_SLOWNESS = 6

/** Average time between two events of a response stream on one engine, and the number of streams measured. */
interface Spacing {
  milliseconds: number
  streams: number
}

/**
 * Estimates the relative speed of a deployment's engines from their streams.
 *
 * Engines of one service differ in speed without reporting it. While an engine prefills a long prompt, all its streams pause.
 * On an engine that is a third slower, the pause exceeds what callers accept, and every stream there is late. The spacing of
 * events, that is, the time between two events of a stream, shows the relative speed of an engine within a few streams. The
 * prefill rate differs between engines by the same factor, so a single rate is learnt from long prompts on all of them.
 */
export class EngineSpeeds {
  private readonly spacings = new Map<string, Spacing>()
  private prefillTokensPerMillisecond = INITIAL_PREFILL_TOKENS_PER_MILLISECOND

  /** Records the spacing of a stream's events, measured without the pauses for other requests' prefill. */
  recordEventSpacing (endpoint: string, milliseconds: number): void {
    const spacing = this.spacings.get(endpoint)
    if (spacing === undefined) {
      this.spacings.set(endpoint, { milliseconds, streams: 1 })
      return
    }
    spacing.streams += 1
    spacing.milliseconds += SMOOTHING_FACTOR * (milliseconds - spacing.milliseconds)
  }

  /** Records that the engine took this time to prefill a prompt of this many tokens. */
  recordPrefill (endpoint: string, tokens: number, milliseconds: number): void {
    if (tokens < MINIMUM_PROMPT_TOKENS || milliseconds <= 0) return
    const sample = tokens / milliseconds * this.slowness(endpoint)
    const before = this.prefillTokensPerMillisecond
    const bounded = Math.min(before * MAXIMUM_CHANGE_FACTOR, Math.max(before / MAXIMUM_CHANGE_FACTOR, sample))
    this.prefillTokensPerMillisecond += SMOOTHING_FACTOR * (bounded - before)
  }

  /** @returns how many times slower the engine is than the fastest measured one; 1 for an engine with too few measured streams */
  slowness (endpoint: string): number {
    const spacing = this.spacings.get(endpoint)
    if (spacing === undefined || spacing.streams < MINIMUM_STREAMS) return 1
    let fastest = spacing.milliseconds
    for (const { milliseconds, streams } of this.spacings.values()) if (streams >= MINIMUM_STREAMS) fastest = Math.min(fastest, milliseconds)
    return Math.min(MAXIMUM_SLOWNESS, spacing.milliseconds / fastest)
  }

  /** @returns milliseconds that the engine needs to prefill this many prompt tokens */
  prefillMilliseconds (endpoint: string, tokens: number): number {
    return tokens / this.prefillTokensPerMillisecond * this.slowness(endpoint)
  }

  /** Drops the measurements of an engine that was removed or restarted. */
  forget (endpoint: string): void {
    this.spacings.delete(endpoint)
  }
}
