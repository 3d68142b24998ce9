/** Estimates how fast the engines are relative to each other, from the response streams that they produce. */
import { median } from './speed-window.js'

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
/** Upper bound of {@link EngineSpeeds.slowness}, the factor by which an engine is slower than the fastest ones. */
const MAXIMUM_SLOWNESS = 6
/** Quantile of the spacings of a service that others are compared with; the least one may belong to an engine whose events arrived in groups. */
const FASTEST_QUANTILE = 0.1
/** The references of the services are computed anew after as many changes as this share of the engines, which bounds the cost in a large fleet. */
const RECOMPUTE_SHARE = 0.02

/** Average time between two events of a response stream on one engine, and the number of streams measured. */
interface Spacing {
  milliseconds: number
  streams: number
}

/** Speed of one engine as measured by all instances together. */
export interface SharedSpeed {
  /** Time between two events of a stream, milliseconds; undefined when unknown. */
  readonly spacingMilliseconds: number | undefined
  /** Prompt tokens read per millisecond; undefined when unknown. */
  readonly prefillTokensPerMillisecond: number | undefined
}

/** What the engines of one service are compared with. */
interface Reference {
  /** Spacing of the fastest engines, milliseconds. */
  readonly spacing: number
  /** Prefill rate of the fastest engines by the shared measurements; undefined when there are none. */
  readonly prefillTokensPerMillisecond: number | undefined
}

/** Called with each sample that this instance has taken of an engine. */
export type SpeedSampleListener = (endpoint: string, kind: 'spacing' | 'prefill', value: number) => void

/**
 * Estimates the relative speed of a deployment's engines from their streams.
 *
 * Engines of one service differ in speed without reporting it. While an engine prefills a long prompt, all its streams pause.
 * On an engine that is a third slower, the pause exceeds what callers accept, and every stream there is late. The spacing of
 * events, that is, the time between two events of a stream, shows the relative speed of an engine within a few streams. The
 * prefill rate differs between engines by the same factor, so a single rate is learnt from long prompts on all of them.
 *
 * The speed that all instances have measured together takes precedence over the measurements of this instance alone: a single
 * instance of a large fleet sees few streams of each engine.
 */
export class EngineSpeeds {
  private readonly spacings = new Map<string, Spacing>()
  private readonly shared = new Map<string, SharedSpeed>()
  private readonly listeners: SpeedSampleListener[] = []
  private readonly serviceOf: (endpoint: string) => string
  private references: ReadonlyMap<string, Reference> | undefined
  private changes = 0
  private prefillTokensPerMillisecond = INITIAL_PREFILL_TOKENS_PER_MILLISECOND
  private isPrefillMeasured = false

  /** @param serviceOf - returns the service of an engine; only engines of one service are compared with each other */
  constructor (serviceOf: (endpoint: string) => string = () => '') {
    this.serviceOf = serviceOf
  }

  /** Registers a listener that is called with each sample of this instance. */
  onSample (listener: SpeedSampleListener): void {
    this.listeners.push(listener)
  }

  /** Records the spacing of a stream's events, measured without the pauses for other requests' prefill. */
  recordEventSpacing (endpoint: string, milliseconds: number): void {
    const spacing = this.spacings.get(endpoint)
    if (spacing === undefined) this.spacings.set(endpoint, { milliseconds, streams: 1 })
    else {
      spacing.streams += 1
      spacing.milliseconds += SMOOTHING_FACTOR * (milliseconds - spacing.milliseconds)
    }
    this.changes += 1
    for (const listener of this.listeners) listener(endpoint, 'spacing', milliseconds)
  }

  /** Records that the engine took this time to prefill a prompt of this many tokens. */
  recordPrefill (endpoint: string, tokens: number, milliseconds: number): void {
    if (tokens < MINIMUM_PROMPT_TOKENS || milliseconds <= 0) return
    this.isPrefillMeasured = true
    const sample = tokens / milliseconds * this.slowness(endpoint)
    const before = this.prefillTokensPerMillisecond
    const bounded = Math.min(before * MAXIMUM_CHANGE_FACTOR, Math.max(before / MAXIMUM_CHANGE_FACTOR, sample))
    this.prefillTokensPerMillisecond += SMOOTHING_FACTOR * (bounded - before)
    for (const listener of this.listeners) listener(endpoint, 'prefill', tokens / milliseconds)
  }

  /** Replaces the speed that all instances have measured together; undefined when they know none. */
  setShared (endpoint: string, speed: SharedSpeed | undefined): void {
    if (speed === undefined) this.shared.delete(endpoint)
    else this.shared.set(endpoint, speed)
    this.changes += 1
  }

  /** @returns how many times slower the engine is than the fastest ones of its service; 1 for an engine with too few measured streams */
  slowness (endpoint: string): number {
    const spacing = this.spacingOf(endpoint)
    const reference = spacing === undefined ? undefined : this.reference(endpoint)
    if (spacing === undefined || reference === undefined) return 1
    return Math.min(MAXIMUM_SLOWNESS, Math.max(1, spacing / reference.spacing))
  }

  /** @returns milliseconds that the engine needs to prefill this many prompt tokens */
  prefillMilliseconds (endpoint: string, tokens: number): number {
    const rate = this.reference(endpoint)?.prefillTokensPerMillisecond ?? this.prefillTokensPerMillisecond
    return tokens / rate * this.slowness(endpoint)
  }

  /** @returns prompt tokens that the engine reads per millisecond; undefined before any prompt was measured */
  prefillRate (endpoint: string): number | undefined {
    const isMeasured = this.isPrefillMeasured || this.reference(endpoint)?.prefillTokensPerMillisecond !== undefined
    return isMeasured ? 1 / this.prefillMilliseconds(endpoint, 1) : undefined
  }

  /** Drops the measurements of an engine that was removed or restarted. */
  forget (endpoint: string): void {
    this.spacings.delete(endpoint)
    this.shared.delete(endpoint)
    this.references = undefined
  }

  private spacingOf (endpoint: string): number | undefined {
    const shared = this.shared.get(endpoint)?.spacingMilliseconds
    if (shared !== undefined) return shared
    const own = this.spacings.get(endpoint)
    return own === undefined || own.streams < MINIMUM_STREAMS ? undefined : own.milliseconds
  }

  /** @returns what the engine is compared with; undefined while the spacing of no engine of its service is known */
  private reference (endpoint: string): Reference | undefined {
    const isStale = this.changes > 0 && this.changes >= RECOMPUTE_SHARE * Math.max(this.spacings.size, this.shared.size)
    if (this.references === undefined || isStale) {
      this.references = this.computeReferences()
      this.changes = 0
    }
    return this.references.get(this.serviceOf(endpoint))
  }

  private computeReferences (): Map<string, Reference> {
    const byService = new Map<string, string[]>()
    for (const endpoint of new Set([...this.shared.keys(), ...this.spacings.keys()])) {
      if (this.spacingOf(endpoint) === undefined) continue
      const service = this.serviceOf(endpoint)
      const endpoints = byService.get(service)
      if (endpoints === undefined) byService.set(service, [endpoint])
      else endpoints.push(endpoint)
    }
    return new Map([...byService].map(([service, endpoints]) => [service, this.computeReference(endpoints)]))
  }

  private computeReference (endpoints: readonly string[]): Reference {
    const spacings = endpoints.map((endpoint) => this.spacingOf(endpoint) ?? Infinity).toSorted((left, right) => left - right)
    const spacing = spacings[Math.floor((spacings.length - 1) * FASTEST_QUANTILE)] ?? Infinity
    const rates = endpoints.flatMap((endpoint) => {
      const rate = this.shared.get(endpoint)?.prefillTokensPerMillisecond
      return rate === undefined ? [] : [rate * Math.max(1, (this.spacingOf(endpoint) ?? spacing) / spacing)]
    })
    return { spacing, prefillTokensPerMillisecond: rates.length === 0 ? undefined : median(rates) }
  }
}
