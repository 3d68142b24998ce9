/** What an owner tells the others about an endpoint, for their routing. */
import type { EndpointDigestFrame, EndpointId } from '@limpetwinch/core'
import type { EndpointScheduler } from './endpoint-scheduler.js'

/** What a digest tells beside the scheduler's own state. */
export interface DigestState {
  /** All adapters and not only changes. */
  readonly full: boolean
  readonly leaving: boolean
  /** Whether the engine's reports come. */
  readonly healthy: boolean
  readonly evictionCost: number
}

/** Makes digests of one endpoint: the adapters as changes, each numbered so that a receiver sees a gap. */
export class DigestMaker {
  private sequence = 0
  private lastAdapters = new Set<string>()
  private lastLoad = ''

  /**
   * @param scheduler - the endpoint's scheduler
   * @param state - what the scheduler does not know
   * @returns the frame to broadcast, or undefined when it would tell nothing new
   */
  make (scheduler: EndpointScheduler, state: DigestState): EndpointDigestFrame | undefined {
    const { full, leaving, healthy, evictionCost } = state
    const loaded = new Set(scheduler.slots.all()
      .filter((slot) => slot.usable && slot.state === 'loaded')
      .map((slot) => slot.adapter))
    const added = [...loaded].filter((adapter) => full || !this.lastAdapters.has(adapter))
    const removed = full ? [] : [...this.lastAdapters].filter((adapter) => !loaded.has(adapter))
    const load = { queued: scheduler.queued, running: scheduler.running.size, pinnedSlots: scheduler.slots.pinnedCount, leaving, healthy }
    const telling = JSON.stringify(load)
    if (!full && telling === this.lastLoad && added.length === 0 && removed.length === 0) return undefined
    this.lastLoad = telling
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

/** Tells which adapters other engines hold, as their owners' digests say. */
export abstract class CopyCounter {
  /** @returns copies of an adapter on engines other than the one named */
  abstract copiesElsewhere (adapter: string, endpoint: EndpointId): number
}
