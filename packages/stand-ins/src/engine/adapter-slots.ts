/** Adapter slots of an engine, and the adapter loads into them. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import type { LoadBody } from './engine-bodies.js'

/** Reason why a load order was not carried out. */
export interface SlotRefusal {
  readonly status: 409 | 502
  readonly code: 'no-free-slot' | 'load-failed'
  readonly message: string
}

/** Active faults of adapter loads. */
export interface LoadFaults {
  /** Number of loads that still fail. */
  failLoads: number
  /** Adapters `team/adapter@version` whose loads fail. */
  failLoadsOf: readonly string[]
  /** Delay added to each load, in milliseconds. */
  slowLoads: number
}

type LoadResult = Result<void, SlotRefusal>

interface LoadInProgress {
  readonly result: Promise<LoadResult>
  readonly abandon: AbortController
}

/** Source of weights: the weight store of a platform, or a fixed load duration when there is no platform. */
export interface WeightSource {
  readonly platform: string | undefined
  readonly loadMilliseconds: number
}

/** The loaded adapters of one engine. */
export class AdapterSlots {
  readonly faults: LoadFaults = { failLoads: 0, failLoadsOf: [], slowLoads: 0 }
  readonly size: number
  private readonly source: WeightSource
  private readonly held = new Set<string>()
  private readonly loadsInProgress = new Map<string, LoadInProgress>()

  /**
   * @param size - number of slots
   * @param source - source of the weights
   */
  constructor (size: number, source: WeightSource) {
    this.size = size
    this.source = source
  }

  /** @returns names of the loaded adapters */
  get loaded (): readonly string[] {
    return [...this.held]
  }

  /** @returns whether an adapter is loaded */
  holds (name: string): boolean {
    return this.held.has(name)
  }

  /** Loads an adapter. A second order for the same name waits for the load in progress and gets the same result. */
  async load (order: LoadBody): Promise<LoadResult> {
    if (this.held.has(order.name)) return ok()
    const inProgress = this.loadsInProgress.get(order.name)
    if (inProgress !== undefined) return await inProgress.result
    if (this.held.size + this.loadsInProgress.size >= this.size) return err(refusal(409, 'no-free-slot', `All ${this.size} slots are taken.`))
    const abandon = new AbortController()
    const result = this.transfer(order, abandon.signal)
    this.loadsInProgress.set(order.name, { result, abandon })
    return await result
  }

  /** Unloads an adapter, and aborts its load if one is in progress. */
  unload (name: string): void {
    this.held.delete(name)
    this.loadsInProgress.get(name)?.abandon.abort()
  }

  /** Unloads all adapters and aborts all loads in progress. */
  clear (): void {
    this.held.clear()
    for (const { abandon } of this.loadsInProgress.values()) abandon.abort()
  }

  private async transfer (order: LoadBody, signal: AbortSignal): Promise<LoadResult> {
    const adapter = `${order.source.team}/${order.source.adapter}@${order.source.version}`
    const fails = this.failsByFault(adapter)
    const problem = await this.fetchWeights(adapter, signal)
    this.loadsInProgress.delete(order.name)
    if (signal.aborted) return err(refusal(502, 'load-failed', `The load of '${adapter}' was given up.`))
    if (fails) return err(refusal(502, 'load-failed', `The load of '${adapter}' fails by fault.`))
    if (problem !== undefined) return err(refusal(502, 'load-failed', problem))
    this.held.add(order.name)
    return ok()
  }

  private failsByFault (adapter: string): boolean {
    if (this.faults.failLoadsOf.includes(adapter)) return true
    if (this.faults.failLoads === 0) return false
    this.faults.failLoads -= 1
    return true
  }

  /** @returns an error message; undefined when the weights were transferred */
  private async fetchWeights (adapter: string, signal: AbortSignal): Promise<string | undefined> {
    await pause(this.faults.slowLoads, signal)
    if (this.source.platform === undefined) {
      await pause(this.source.loadMilliseconds, signal)
      return undefined
    }
    try {
      const answer = await request(`${this.source.platform}/weights?adapter=${encodeURIComponent(adapter)}`, { signal, headersTimeout: 0 })
      await answer.body.dump()
      return answer.statusCode === 200 ? undefined : `The weight store answered ${answer.statusCode} for '${adapter}'.`
    } catch (cause) {
      return `The weight store does not answer: ${cause instanceof Error ? cause.message : String(cause)}`
    }
  }
}

function refusal (status: SlotRefusal['status'], code: SlotRefusal['code'], message: string): SlotRefusal {
  return { status, code, message }
}

async function pause (milliseconds: number, signal: AbortSignal): Promise<void> {
  if (milliseconds <= 0 || signal.aborted) return
  await new Promise<void>((resolve) => {
    const timer = setTimeout(resolve, milliseconds)
    signal.addEventListener('abort', () => { clearTimeout(timer); resolve() }, { once: true })
  })
}
