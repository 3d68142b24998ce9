/** The adapter slots of one engine. */
import type { SlotView } from '@limpetwinch/decisions'

/** A slot in use; the eviction policy reads it directly. */
export interface EngineSlot extends SlotView {
  pins: number
  loadedAt: number
  lastUsedAt: number
  waiting: number
  otherCopies: number
  state: 'loading' | 'loaded'
}

/** The slots in use, by adapter. */
export class EngineSlots {
  private readonly slots = new Map<string, EngineSlot>()

  /** @param count - number of slots of the engine */
  constructor (readonly count: number) {}

  /** @returns the slot in which the adapter is loaded or loading */
  get (adapter: string): EngineSlot | undefined {
    return this.slots.get(adapter)
  }

  /** @returns the number of empty slots */
  get free (): number {
    return this.count - this.slots.size
  }

  /** @returns the number of slots that may not be evicted because they are pinned or loading */
  get pinned (): number {
    let pinned = 0
    for (const slot of this.slots.values()) if (slot.pins > 0 || slot.state === 'loading') pinned += 1
    return pinned
  }

  /** @returns the slots whose adapter is loaded, for the eviction policy */
  loaded (): EngineSlot[] {
    return [...this.slots.values()].filter((slot) => slot.state === 'loaded')
  }

  /** Assigns a slot to an adapter that begins to load. */
  reserve (adapter: string, waiting: number, now: number): EngineSlot {
    const slot: EngineSlot = { adapter, pins: 0, loadedAt: now, lastUsedAt: now, waiting, otherCopies: 0, state: 'loading' }
    this.slots.set(adapter, slot)
    return slot
  }

  /** Empties the slot of an adapter; throws when the slot is pinned or the adapter has none. */
  evict (adapter: string): void {
    const slot = this.slots.get(adapter)
    // A pinned adapter must never be evicted. The run fails, so that a policy that violates this rule gives no figures.
    if (slot === undefined || slot.pins > 0) throw new Error(`Eviction of ${adapter}, which is ${slot === undefined ? 'not loaded' : 'pinned'}.`)
    this.slots.delete(adapter)
  }

  /** Empties all slots after a cold restart. */
  clear (): void {
    this.slots.clear()
  }
}
