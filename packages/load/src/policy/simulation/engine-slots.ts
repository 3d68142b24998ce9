/** The adapter slots of one engine. */
import type { SlotView } from '@limpetwinch/decisions'

/** One slot in use; the policies see it as it is. */
export interface EngineSlot extends SlotView {
  pins: number
  loadedAt: number
  lastUsedAt: number
  waiting: number
  otherCopies: number
  state: 'loading' | 'loaded'
}

/** Slots by adapter. */
export class EngineSlots {
  private readonly slots = new Map<string, EngineSlot>()

  /** @param count - slots of the engine */
  constructor (readonly count: number) {}

  /** @returns the slot that holds or loads the adapter */
  get (adapter: string): EngineSlot | undefined {
    return this.slots.get(adapter)
  }

  /** @returns slots that hold nothing */
  get free (): number {
    return this.count - this.slots.size
  }

  /** @returns slots that may not be evicted: pinned, or loading */
  get pinned (): number {
    let pinned = 0
    for (const slot of this.slots.values()) if (slot.pins > 0 || slot.state === 'loading') pinned += 1
    return pinned
  }

  /** @returns the loaded ones, for the eviction policy */
  loaded (): EngineSlot[] {
    return [...this.slots.values()].filter((slot) => slot.state === 'loaded')
  }

  /** Gives a slot to an adapter that begins to load. */
  reserve (adapter: string, waiting: number, now: number): EngineSlot {
    const slot: EngineSlot = { adapter, pins: 0, loadedAt: now, lastUsedAt: now, waiting, otherCopies: 0, state: 'loading' }
    this.slots.set(adapter, slot)
    return slot
  }

  /** Empties a slot. */
  evict (adapter: string): void {
    const slot = this.slots.get(adapter)
    // The promise that the whole product rests on; a policy that breaks it must not give figures.
    if (slot === undefined || slot.pins > 0) throw new Error(`Eviction of ${adapter}, which is ${slot === undefined ? 'not loaded' : 'pinned'}.`)
    this.slots.delete(adapter)
  }

  /** Everything is gone after a cold restart. */
  clear (): void {
    this.slots.clear()
  }
}
