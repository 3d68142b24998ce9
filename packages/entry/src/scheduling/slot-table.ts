/** What an owner knows about the adapter slots of one engine. A slot is the engine's room for one loaded adapter. */
import { splitLoadedName } from '@limpetwinch/core'
import type { LoadedName } from '@limpetwinch/core'
import type { SlotView } from '@limpetwinch/decisions'

/**
 * `loaded`: confirmed under the current token. `unverified`: reported by the engine, or no longer certain. A load order
 * has to confirm an unverified adapter; an engine that holds the adapter responds to the order at once. `loading`,
 * `unloading`: a load or unload order is in progress.
 */
export type SlotState = 'loaded' | 'unverified' | 'loading' | 'unloading'

/** One occupied slot. */
export interface Slot {
  /** The name under which the engine holds the adapter. */
  readonly name: LoadedName
  /** `team/adapter@version`. */
  readonly adapter: string
  state: SlotState
  /** Ids of the admitted requests that use the slot. */
  readonly pins: Set<string>
  /** When the slot was occupied, monotonic milliseconds. */
  readonly loadedAt: number
  /** When a request was last admitted to the slot, monotonic milliseconds. */
  lastUsedAt: number
  /** False while a late unload order may still remove the adapter: an order of an earlier owner, or an order whose response was lost. */
  usable: boolean
}

/** The slots of one engine. Every entry occupies a slot, even while its load or unload order is in progress. */
export class SlotTable {
  private readonly slots = new Map<LoadedName, Slot>()
  private readonly capacity: number

  /** @param capacity - how many adapters the engine can hold */
  constructor (capacity: number) {
    this.capacity = capacity
  }

  /** Number of empty slots. An engine may report more adapters than its settings allow, so the number is kept at 0 or above. */
  get freeSlots (): number {
    return Math.max(0, this.capacity - this.slots.size)
  }

  /** Whether one more adapter fits. */
  get hasFreeSlot (): boolean {
    return this.freeSlots > 0
  }

  /** Number of slots with a pinned adapter. */
  get pinnedCount (): number {
    return this.all().filter((slot) => slot.pins.size > 0).length
  }

  /** @returns all occupied slots */
  all (): Slot[] {
    return [...this.slots.values()]
  }

  /** @returns the slot of a loaded name */
  get (name: LoadedName): Slot | undefined {
    return this.slots.get(name)
  }

  /** @returns the usable slot of an adapter, in any state except `unloading` */
  usableSlot (adapter: string): Slot | undefined {
    return this.all().find((slot) => slot.usable && slot.adapter === adapter && slot.state !== 'unloading')
  }

  /** Adds a slot with the given state, or returns the existing slot of that name unchanged. */
  occupy (name: LoadedName, state: SlotState, usable: boolean, now: number): Slot {
    const present = this.slots.get(name)
    if (present !== undefined) return present
    const { adapter } = splitLoadedName(name)
    const slot: Slot = { name, adapter, state, pins: new Set(), loadedAt: now, lastUsedAt: now, usable }
    this.slots.set(name, slot)
    return slot
  }

  /** Removes a slot from the table. */
  free (name: LoadedName): void {
    this.slots.delete(name)
  }

  /**
   * @param waiting - returns the number of requests that wait for an adapter
   * @param otherCopies - returns the number of copies of an adapter on other engines
   * @param protectedNames - loaded names that requests admitted by an earlier owner may still use
   * @returns the slots that may be evicted, with their views for the eviction policy
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
