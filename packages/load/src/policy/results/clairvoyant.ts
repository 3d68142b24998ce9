/** Approximation of the best reachable load stalls: a scheduler that knows the future and is limited only by the rate of loads. */
import { adapterKeyOf } from '../traces/trace.js'
import type { Trace } from '../traces/trace.js'
import { percentilesOf } from './percentiles.js'
import type { PercentilesAndMaximum } from './percentiles.js'

/** Reference figures of a trace. */
export interface ClairvoyantReference {
  readonly load_stall_ms: PercentilesAndMaximum
  readonly loads: number
}

/** Maximum future requests searched for the next adapter to load. */
const LOOK_AHEAD_REQUESTS = 3_000

/**
 * Replays a trace with all slots of all engines as one cache, requests that take no time to run, and one load at a time.
 *
 * The adapter whose next use is farthest in the future is evicted. When no request waits, the next needed adapter is loaded
 * ahead. No order of loads is proved to be best for a percentile, so several orders are tried, and the result is an
 * optimistic reference and not a proved bound.
 */
class Clairvoyant {
  private readonly keys: readonly string[]
  private readonly times: readonly number[]
  /** Indexes of the future requests of each adapter, the next request last. */
  private readonly uses = new Map<string, number[]>()
  private readonly held = new Set<string>()
  private readonly waiting = new Map<string, number[]>()
  private readonly stalls: number[]
  private readonly slots: number
  private loading: string | undefined
  private loads = 0

  /**
   * @param trace - the trace to replay
   * @param waitingCountExponent - the load with the largest product of age and number of waiting requests to this power goes first
   */
  constructor (private readonly trace: Trace, private readonly waitingCountExponent: number) {
    this.keys = trace.requests.map(adapterKeyOf)
    this.times = trace.requests.map((request) => request.atMilliseconds)
    this.stalls = this.keys.map(() => 0)
    this.slots = trace.size.engines * trace.size.slots
    for (let index = this.keys.length - 1; index >= 0; index--) {
      const key = this.keys[index] as string
      const places = this.uses.get(key) ?? []
      this.uses.set(key, places)
      places.push(index)
    }
  }

  /** @returns the percentiles of the load stalls and the number of loads */
  run (): ClairvoyantReference {
    const loadMilliseconds = 1_000 / this.trace.size.loadsPerSecond
    const restarts = [...this.trace.restarts]
    let loadEnds = Infinity
    let next = 0
    while (next < this.keys.length || this.waiting.size > 0) {
      const arrival = this.times[next] ?? Infinity
      const now = Math.min(arrival, loadEnds)
      while ((restarts[0]?.atMilliseconds ?? Infinity) <= now) {
        restarts.shift()
        this.restartOneEngine()
      }
      if (loadEnds <= arrival) this.endLoad(now)
      else this.arrive(next++)
      if (this.loading === undefined) this.loading = this.chooseLoad(next, now)
      if (this.loading === undefined) loadEnds = Infinity
      else if (loadEnds <= now || loadEnds === Infinity) loadEnds = now + loadMilliseconds
    }
    return {
      load_stall_ms: percentilesOf(this.stalls.filter((_, index) => (this.times[index] ?? 0) >= this.trace.measuredFromMilliseconds)),
      loads: this.loads
    }
  }

  private arrive (index: number): void {
    const key = this.keys[index] as string
    this.uses.get(key)?.pop()
    if (this.held.has(key)) return
    this.waiting.set(key, [...this.waiting.get(key) ?? [], index])
  }

  private endLoad (now: number): void {
    const key = this.loading as string
    this.loading = undefined
    this.held.add(key)
    for (const index of this.waiting.get(key) ?? []) this.stalls[index] = now - (this.times[index] as number)
    this.waiting.delete(key)
  }

  private chooseLoad (next: number, now: number): string | undefined {
    const chosen = this.mostUrgentLoad(now) ?? this.nextLoadAhead(next)
    if (chosen === undefined) return undefined
    this.loads += 1
    return chosen
  }

  private mostUrgentLoad (now: number): string | undefined {
    let best: string | undefined
    let highestUrgency = -1
    for (const [key, indexes] of this.waiting) {
      const urgency = indexes.length ** this.waitingCountExponent * (now - (this.times[indexes[0] as number] as number) + 1)
      if (urgency <= highestUrgency) continue
      best = key
      highestUrgency = urgency
    }
    if (best !== undefined) this.makeRoom()
    return best
  }

  /** Chooses an adapter to load ahead, but evicts only an adapter whose next use is later than that of the loaded one. */
  private nextLoadAhead (next: number): string | undefined {
    for (let index = next; index < Math.min(this.keys.length, next + LOOK_AHEAD_REQUESTS); index++) {
      const key = this.keys[index] as string
      if (this.held.has(key)) continue
      if (this.held.size < this.slots) return key
      const victim = this.farthestNextUse()
      if (victim === undefined || this.nextUse(victim) <= index) return undefined
      this.held.delete(victim)
      return key
    }
    return undefined
  }

  private makeRoom (): void {
    if (this.held.size < this.slots) return
    const victim = this.farthestNextUse()
    if (victim !== undefined) this.held.delete(victim)
  }

  private farthestNextUse (): string | undefined {
    let victim: string | undefined
    let farthestNextUse = -1
    for (const key of this.held) {
      const use = this.nextUse(key)
      if (use <= farthestNextUse) continue
      victim = key
      farthestNextUse = use
    }
    return victim
  }

  private nextUse (key: string): number {
    return this.uses.get(key)?.at(-1) ?? Infinity
  }

  /** Removes the slots of one engine; the adapters with the farthest next use count as the adapters of the engine that restarts. */
  private restartOneEngine (): void {
    const lost = this.held.size - this.trace.size.slots * (this.trace.size.engines - 1)
    for (let count = 0; count < lost; count++) {
      const victim = this.farthestNextUse()
      if (victim !== undefined) this.held.delete(victim)
    }
  }
}

/** Exponents of the tried orders of loads: 0 is first come, first served; a high one orders almost only by the number of waiting requests. */
const WAITING_COUNT_EXPONENTS: readonly number[] = [0, 0.25, 1, 4]

/** @returns the reference for a trace: for each figure the minimum over all tried orders of loads */
export function clairvoyantReferenceOf (trace: Trace): ClairvoyantReference {
  const runs = WAITING_COUNT_EXPONENTS.map((power) => new Clairvoyant(trace, power).run())
  const least = (figure: (run: ClairvoyantReference) => number) => Math.min(...runs.map(figure))
  return {
    load_stall_ms: {
      p50: least((run) => run.load_stall_ms.p50),
      p95: least((run) => run.load_stall_ms.p95),
      p99: least((run) => run.load_stall_ms.p99),
      max: least((run) => run.load_stall_ms.max)
    },
    loads: least((run) => run.loads)
  }
}
