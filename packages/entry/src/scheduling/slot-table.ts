/** What an owner knows of the adapter slots of one engine. */
import { splitLoadedName } from '@limpetwinch/core'
import type { LoadedName } from '@limpetwinch/core'
import type { SlotView } from '@limpetwinch/decisions'

/**
 * `loaded`: confirmed under the present token. `unverified`: reported, or doubted, and to be confirmed by a load order,
 * which an engine that holds the adapter answers at once. `loading`, `unloading`: an order is under way.
 */
export type SlotState = 'loaded' | 'unverified' | 'loading' | 'unloading'

/** One occupied slot. */
export interface Slot {
  readonly name: LoadedName
  /** `team/adapter@version`. */
  readonly adapter: string
  state: SlotState
  /** Requests that use it, by request id. */
  readonly pins: Set<string>
  readonly loadedAt: number
  lastUsedAt: number
  /** False for a name that a late unload may still touch: of an earlier owner, or of this one when its answer was lost. */
  usable: boolean
}

/** The slots of one engine; every entry takes one, also while its order is under way. */
export class SlotTable {
  private readonly slots = new Map<LoadedName, Slot>()
  private readonly capacity: number

  /** @param capacity - how many adapters the engine holds */
  constructor (capacity: number) {
    this.capacity = capacity
  }

  /** Slots that hold nothing; an engine may report more than its settings say. */
  get freeSlots (): number {
    return Math.max(0, this.capacity - this.slots.size)
  }

  /** Whether one more adapter fits. */
  get hasFreeSlot (): boolean {
    return this.freeSlots > 0
  }

  /** Slots that hold a pinned adapter. */
  get pinnedCount (): number {
    return this.all().filter((slot) => slot.pins.size > 0).length
  }

  /** @returns all occupied slots */
  all (): Slot[] {
    return [...this.slots.values()]
  }

  /** @returns the slot of a name */
  get (name: LoadedName): Slot | undefined {
    return this.slots.get(name)
  }

  /** @returns the usable slot of an adapter, whatever its state */
  usable (adapter: string): Slot | undefined {
    return this.all().find((slot) => slot.usable && slot.adapter === adapter && slot.state !== 'unloading')
  }

  /** Adds a slot, or returns the one that is there. */
  occupy (name: LoadedName, state: SlotState, usable: boolean, now: number): Slot {
    const present = this.slots.get(name)
    if (present !== undefined) return present
    const { adapter } = splitLoadedName(name)
    const slot: Slot = { name, adapter, state, pins: new Set(), loadedAt: now, lastUsedAt: now, usable }
    this.slots.set(name, slot)
    return slot
  }

  /** Forgets a slot. */
  free (name: LoadedName): void {
    this.slots.delete(name)
  }

  /**
   * @param waiting - requests that wait for an adapter
   * @param otherCopies - copies of an adapter on other engines
   * @param protectedNames - names that requests admitted by an earlier owner may use
   * @returns what may be evicted, for the eviction policy
   */
  evictable (waiting: (adapter: string) => number, otherCopies: (adapter: string) => number, protectedNames: ReadonlySet<LoadedName>): { view: SlotView, slot: Slot }[] {
    return this.all()
      .filter((slot) => slot.pins.size === 0 && !protectedNames.has(slot.name))
      .filter((slot) => slot.state === 'loaded' || slot.state === 'unverified')
      .map((slot) => ({
        slot,
        view: {
          adapter: slot.adapter,
          pins: 0,
          loadedAt: slot.loadedAt,
          lastUsedAt: slot.lastUsedAt,
          waiting: slot.usable ? waiting(slot.adapter) : 0,
          otherCopies: otherCopies(slot.adapter)
        }
      }))
  }
}
