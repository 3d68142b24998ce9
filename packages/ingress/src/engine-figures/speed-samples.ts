/** Collects the samples that this instance takes of the speeds of engines, and sends them to the load owners of these engines. */
import type { EndpointId, EngineSamples, EngineSamplesFrame, InstanceId } from '@limpetwinch/core'

/** Samples of one engine and kind that are sent together. More of them would not count, see `SpeedWindow`. */
const MAXIMUM_SAMPLES = 2
/** Engines whose samples are sent together, which bounds the messages of a busy instance. */
const MAXIMUM_ENGINES = 2
/** Engines of which samples are kept while they have no load owner. */
const MAXIMUM_WAITING = 64

/** What the samples need of the instance. */
export interface SpeedSamplesDependencies {
  /** @returns start time of the process of the engine; undefined when the engine is not known */
  readonly bornOf: (endpoint: EndpointId) => number | undefined
  readonly loadOwnerOf: (endpoint: EndpointId) => InstanceId | undefined
  readonly send: (to: InstanceId, frame: EngineSamplesFrame) => void
}

interface Pending {
  readonly born: number
  readonly spacing: number[]
  readonly prefill: number[]
}

/** Samples that wait to be sent. */
export class SpeedSamples {
  private readonly parts: SpeedSamplesDependencies
  private readonly pending = new Map<EndpointId, Pending>()

  constructor (parts: SpeedSamplesDependencies) {
    this.parts = parts
  }

  /** Adds a sample of the engine's present process. Samples beyond the bounds are dropped. */
  add (endpoint: EndpointId, kind: 'spacing' | 'prefill', value: number): void {
    const born = this.parts.bornOf(endpoint)
    if (born === undefined) return
    const before = this.pending.get(endpoint)
    const pending = before?.born === born ? before : { born, spacing: [], prefill: [] }
    if (before === undefined && this.pending.size >= MAXIMUM_WAITING) return
    this.pending.set(endpoint, pending)
    if (pending[kind].length < MAXIMUM_SAMPLES) pending[kind].push(rounded(value))
  }

  /** Sends the collected samples; those of engines without a load owner wait for one. */
  flush (): void {
    const byOwner = new Map<InstanceId, EngineSamples[]>()
    let engines = 0
    for (const [endpoint, { born, spacing, prefill }] of this.pending) {
      const owner = this.parts.loadOwnerOf(endpoint)
      if (owner === undefined) continue
      this.pending.delete(endpoint)
      if (engines >= MAXIMUM_ENGINES) continue
      engines += 1
      byOwner.set(owner, [...byOwner.get(owner) ?? [], [endpoint, born, spacing, prefill]])
    }
    for (const [owner, samples] of byOwner) this.parts.send(owner, { kind: 'engine-samples', engines: samples })
  }

  /** Drops the samples of an engine that was removed or restarted. */
  forget (endpoint: EndpointId): void {
    this.pending.delete(endpoint)
  }
}

/** Precision of the values in frames: a hundredth of a millisecond, or of a token per millisecond. */
const PRECISION = 100

/** @returns the value as sent in frames, above 0 */
export function rounded (value: number): number {
  return Math.max(1, Math.round(value * PRECISION)) / PRECISION
}
