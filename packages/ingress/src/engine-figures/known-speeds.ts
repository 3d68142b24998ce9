/** The speeds of engines that the load owners have published, as known to this instance. */
import type { EndpointId, EngineSpeed, InstanceId } from '@limpetwinch/core'
import type { EngineSpeeds } from '@limpetwinch/decisions'

/**
 * Time without a load owner after which the published speed of an engine is dropped: nobody would publish a change. A takeover takes
 * a few seconds.
 */
const UNOWNED_MILLISECONDS = 15_000
/** Entries kept; the least recently published one is dropped first. */
const MAXIMUM_ENTRIES = 20_000

/** Published speed of one engine. */
export interface KnownSpeed {
  readonly born: number
  readonly token: number
  /** The load owner that published it. */
  readonly from: InstanceId
  /** Time between two events of a stream, milliseconds; 0 when unknown. */
  readonly spacing: number
  /** Prompt tokens read per millisecond; 0 when unknown. */
  readonly prefillRate: number
  readonly samples: number
  /** Monotonic time of the latest sample, milliseconds. */
  readonly sampledAt: number
}

/** What the known speeds need of the instance. */
export interface KnownSpeedsDependencies {
  readonly speeds: Pick<EngineSpeeds, 'setShared'>
  /** @returns start time of the process of the engine; undefined when the engine is not known */
  readonly bornOf: (endpoint: EndpointId) => number | undefined
  readonly loadOwnerOf: (endpoint: EndpointId) => InstanceId | undefined
}

/** Keeps the latest published speed of each engine, and applies it while the engine runs the measured process. */
export class KnownSpeeds {
  private readonly parts: KnownSpeedsDependencies
  private readonly known = new Map<EndpointId, KnownSpeed>()
  private readonly unownedSince = new Map<EndpointId, number>()

  constructor (parts: KnownSpeedsDependencies) {
    this.parts = parts
  }

  /** @returns the engines whose speeds were published */
  endpoints (): readonly EndpointId[] {
    return [...this.known.keys()]
  }

  /** @returns the published speed of the engine's present process */
  find (endpoint: EndpointId): KnownSpeed | undefined {
    const known = this.known.get(endpoint)
    return known?.born === this.parts.bornOf(endpoint) ? known : undefined
  }

  /**
   * Records speeds that a load owner has published. An instance that has just started may receive them before it knows the engine.
   *
   * @param from - the load owner
   * @param now - monotonic time, milliseconds
   */
  record (from: InstanceId, speeds: readonly EngineSpeed[], now: number): void {
    for (const [endpoint, born, token, spacing, prefillRate, samples, age] of speeds) {
      const before = this.known.get(endpoint)
      if (before !== undefined && (before.born > born || (before.born === born && before.token > token))) continue
      this.known.delete(endpoint)
      this.known.set(endpoint, { born, token, from, spacing, prefillRate, samples, sampledAt: now - age })
      this.apply(endpoint)
    }
    for (const endpoint of this.known.keys()) {
      if (this.known.size <= MAXIMUM_ENTRIES) return
      this.known.delete(endpoint)
    }
  }

  /** Applies the published speed of an engine whose entry in the store has changed. */
  apply (endpoint: EndpointId): void {
    const known = this.find(endpoint)
    this.parts.speeds.setShared(endpoint, known === undefined || known.spacing === 0
      ? undefined
      : { spacingMilliseconds: known.spacing, prefillTokensPerMillisecond: known.prefillRate === 0 ? undefined : known.prefillRate })
  }

  /** Drops what is known of an engine that has left. */
  forget (endpoint: EndpointId): void {
    this.known.delete(endpoint)
    this.unownedSince.delete(endpoint)
  }

  /** Drops speeds of engines that have had no load owner for long; to be called every few seconds. */
  expire (now: number): void {
    for (const endpoint of [...this.known.keys()]) {
      if (this.parts.loadOwnerOf(endpoint) !== undefined) {
        this.unownedSince.delete(endpoint)
        continue
      }
      const since = this.unownedSince.get(endpoint) ?? now
      this.unownedSince.set(endpoint, since)
      if (now - since < UNOWNED_MILLISECONDS) continue
      this.forget(endpoint)
      this.parts.speeds.setShared(endpoint, undefined)
    }
  }

  /** @returns what each load owner has published, for an instance that connects */
  present (now: number): ReadonlyMap<InstanceId, readonly EngineSpeed[]> {
    const byOwner = new Map<InstanceId, EngineSpeed[]>()
    for (const [endpoint, { born, token, from, spacing, prefillRate, samples, sampledAt }] of this.known) {
      const speeds = byOwner.get(from) ?? []
      byOwner.set(from, speeds)
      speeds.push([endpoint, born, token as EngineSpeed[2], spacing, prefillRate, samples, Math.round(now - sampledAt)])
    }
    return byOwner
  }
}
