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
  private told = new Set<string>()

  /**
   * @param scheduler - the endpoint's scheduler
   * @param state - what the scheduler does not know
   * @returns the frame to broadcast
   */
  make (scheduler: EndpointScheduler, state: DigestState): EndpointDigestFrame {
    const { full, leaving, healthy, evictionCost } = state
    const loaded = new Set(scheduler.slots.all()
      .filter((slot) => slot.usable && slot.state === 'loaded')
      .map((slot) => slot.adapter))
    const added = [...loaded].filter((adapter) => full || !this.told.has(adapter))
    const removed = full ? [] : [...this.told].filter((adapter) => !loaded.has(adapter))
    this.told = loaded
    this.sequence += 1
    return {
      kind: 'endpoint-digest',
      endpoint: scheduler.engine.endpoint,
      token: scheduler.token,
      sequence: this.sequence,
      queued: scheduler.queued,
      running: scheduler.running.size,
      slots: scheduler.engine.slots,
      pinnedSlots: scheduler.slots.pinnedCount,
      batchCapacity: scheduler.engine.batchCapacity,
      leaving,
      healthy,
      full,
      added,
      removed,
      evictionCost
    }
  }
}

/** Tells which adapters other engines hold, as their owners' digests say. */
export abstract class CopyCounter {
  /** @returns copies of an adapter on engines other than the one named */
  abstract copiesElsewhere (adapter: string, endpoint: EndpointId): number
}
