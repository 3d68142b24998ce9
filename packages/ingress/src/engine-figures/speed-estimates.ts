/** Estimates the speeds of the engines whose load owner is this instance, from the samples of all instances, and decides when to publish them. */
import type { EndpointId, EngineSamples, EngineSpeed, FencingToken, InstanceId } from '@limpetwinch/core'
import { SpeedWindow } from '@limpetwinch/decisions'
import type { KnownSpeed } from './known-speeds.js'
import { rounded } from './speed-samples.js'

/**
 * Share by which an estimate must differ from the published one to be published. Spacings vary by less with the number of requests that an
 * engine runs, and a smaller difference does not change where requests go.
 */
const NOTICEABLE_CHANGE = 0.15
/** Shortest interval between two publications of one engine, since each goes to all instances. */
const REPEAT_MILLISECONDS = 1_000
/** Time without samples after which an engine is unknown again, for a load owner that has taken over and received none. */
const SILENCE_MILLISECONDS = 20_000

/** What the estimates need of the instance. */
export interface SpeedEstimatesDependencies {
  /** @returns start time of the process of the engine; undefined when the engine is not known */
  readonly bornOf: (endpoint: EndpointId) => number | undefined
  /** @returns fencing token of this instance for the engine; undefined when it is not the load owner */
  readonly tokenOf: (endpoint: EndpointId) => FencingToken | undefined
  /** @returns the published speed of the engine's present process */
  readonly published: (endpoint: EndpointId) => KnownSpeed | undefined
}

interface Windows {
  readonly born: number
  readonly spacing: SpeedWindow
  readonly prefill: SpeedWindow
  /** Monotonic time of the latest samples. */
  sampledAt: number
  publishedAt: number
}

/** Estimates of the owned engines. */
export class SpeedEstimates {
  private readonly parts: SpeedEstimatesDependencies
  private readonly windows = new Map<EndpointId, Windows>()

  constructor (parts: SpeedEstimatesDependencies) {
    this.parts = parts
  }

  /** Engines of which samples have arrived. */
  get endpoints (): readonly EndpointId[] {
    return [...this.windows.keys()]
  }

  /** Adds samples; those of an engine that this instance does not own, or of an earlier process of it, are dropped. */
  add (from: InstanceId, engines: readonly EngineSamples[], now: number): void {
    for (const [endpoint, born, spacings, prefillRates] of engines) {
      if (this.parts.tokenOf(endpoint) === undefined || this.parts.bornOf(endpoint) !== born) continue
      const windows = this.windowsOf(endpoint, born, now)
      for (const spacing of spacings) windows.spacing.add(from, spacing, now)
      for (const rate of prefillRates) windows.prefill.add(from, rate, now)
      windows.sampledAt = now
    }
  }

  /** @returns the estimates that differ noticeably from the published ones; they count as published from now on */
  changes (now: number): EngineSpeed[] {
    const changed: EngineSpeed[] = []
    for (const [endpoint, windows] of this.windows) {
      const token = this.parts.tokenOf(endpoint)
      if (token === undefined) {
        this.windows.delete(endpoint)
        continue
      }
      if (now - windows.publishedAt < REPEAT_MILLISECONDS) continue
      const speed = this.changeOf(endpoint, windows, token, now)
      if (speed === undefined) continue
      windows.publishedAt = now
      changed.push(speed)
    }
    return changed
  }

  /** Starts to watch the engines that this instance owns and others have measured, so that their speeds expire without samples. */
  adopt (endpoint: EndpointId, now: number): void {
    const born = this.parts.bornOf(endpoint)
    if (born !== undefined && this.parts.tokenOf(endpoint) !== undefined) this.windowsOf(endpoint, born, now)
  }

  /** Drops the samples of an engine that was removed or restarted. */
  forget (endpoint: EndpointId): void {
    this.windows.delete(endpoint)
  }

  private windowsOf (endpoint: EndpointId, born: number, now: number): Windows {
    const before = this.windows.get(endpoint)
    if (before?.born === born) return before
    const windows = { born, spacing: new SpeedWindow(), prefill: new SpeedWindow(), sampledAt: now, publishedAt: -Infinity }
    this.windows.set(endpoint, windows)
    return windows
  }

  private changeOf (endpoint: EndpointId, windows: Windows, token: FencingToken, now: number): EngineSpeed | undefined {
    const published = this.parts.published(endpoint)
    const spacing = windows.spacing.estimate(now)
    // After a takeover the published speed stays in force until there are samples enough for a new one.
    if (spacing === undefined && now - windows.sampledAt < SILENCE_MILLISECONDS) return undefined
    const value = spacing === undefined ? 0 : rounded(spacing.value)
    const prefill = windows.prefill.estimate(now)
    const prefillRate = spacing === undefined ? 0 : prefill === undefined ? published?.prefillRate ?? 0 : rounded(prefill.value)
    if (!differs(value, published?.spacing ?? 0) && !differs(prefillRate, published?.prefillRate ?? 0)) return undefined
    const age = Math.round(now - (spacing?.latestAt ?? windows.sampledAt))
    return [endpoint, windows.born, token, value, prefillRate, spacing?.samples ?? 0, age]
  }
}

function differs (value: number, published: number): boolean {
  if (value === 0 || published === 0) return value !== published
  return Math.abs(value / published - 1) >= NOTICEABLE_CHANGE
}
