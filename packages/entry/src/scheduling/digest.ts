/**
 * Builds the digests of an endpoint. A digest is the message by which the owner of an endpoint broadcasts the endpoint's load and loaded
 * adapters, so that other instances can route requests.
 */
import type { EndpointDigestFrame, EndpointId } from '@limpetwinch/core'
import type { EndpointScheduler } from './endpoint-scheduler.js'

/** What a digest contains in addition to the state of the scheduler. */
export interface DigestState {
  /** Whether the digest lists all loaded adapters instead of the changes since the previous digest. */
  readonly full: boolean
  readonly leaving: boolean
  /** Whether the owner currently receives the engine's reports. */
  readonly healthy: boolean
  /** Number of requests that the eviction for one more load is expected to stall; 0 while a slot is free. */
  readonly evictionCost: number
}

/**
 * Builds the digests of one endpoint. A digest that is not full lists only the adapters that changed since the previous
 * digest. Digests carry sequence numbers, so that a receiver detects a missed digest.
 */
export class DigestMaker {
  private sequence = 0
  private lastAdapters = new Set<string>()
  private lastLoad = ''

  /**
   * @param scheduler - the endpoint's scheduler
   * @param state - what the digest contains in addition to the state of the scheduler
   * @returns the frame to broadcast, or undefined if the digest is not full and neither the load nor the adapters
   *   have changed since the previous digest; a change of the eviction cost alone sends no digest
   */
  make (scheduler: EndpointScheduler, state: DigestState): EndpointDigestFrame | undefined {
    const { full, leaving, healthy, evictionCost } = state
    const loaded = new Set(scheduler.slots.all()
      .filter((slot) => slot.usable && slot.state === 'loaded')
      .map((slot) => slot.adapter))
    const added = [...loaded].filter((adapter) => full || !this.lastAdapters.has(adapter))
    const removed = full ? [] : [...this.lastAdapters].filter((adapter) => !loaded.has(adapter))
    const load = { queued: scheduler.queued, running: scheduler.running.size, pinnedSlots: scheduler.slots.pinnedCount, leaving, healthy }
    const serialisedLoad = JSON.stringify(load)
    if (!full && serialisedLoad === this.lastLoad && added.length === 0 && removed.length === 0) return undefined
    this.lastLoad = serialisedLoad
    this.lastAdapters = loaded
    this.sequence += 1
    return {
      kind: 'endpoint-digest',
      endpoint: scheduler.engine.endpoint,
      token: scheduler.token,
      sequence: this.sequence,
      slots: scheduler.engine.slots,
      batchCapacity: scheduler.engine.batchCapacity,
      full,
      added,
      removed,
      evictionCost,
      ...load
    }
  }
}

/** Counts the copies of adapters on other engines, based on the digests from the owners of those engines. */
export abstract class CopyCounter {
  /** @returns the number of copies of an adapter on engines other than `endpoint` */
  abstract copiesElsewhere (adapter: string, endpoint: EndpointId): number
}
