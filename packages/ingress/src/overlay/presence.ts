/** Which instances are connected to the overlay, as hubs tell it. */
import type { InstanceId, OverlayPresenceFrame } from '@limpetwinch/core'

/** Hubs of dozens of data centres, with processes that have ended. */
const MOST_TOLD = 200

interface Told {
  readonly connected: ReadonlySet<InstanceId>
  readonly leaving: ReadonlySet<InstanceId>
}

/** What hubs told last. */
export class Presence {
  private readonly told = new Map<InstanceId, Told>()

  /** Takes a hub's word, which replaces its last one. */
  update (hub: InstanceId, frame: OverlayPresenceFrame): void {
    this.told.set(hub, { connected: new Set(frame.connected), leaving: new Set(frame.leaving) })
  }

  /** Drops what a hub told. */
  forget (hub: InstanceId): void {
    this.told.delete(hub)
  }

  /**
   * Drops what others than these told once much has gathered, mostly words of processes that have ended. Not at once: a hub that
   * has just started may be heard of here before it is heard that it is written down.
   */
  keep (instances: ReadonlySet<InstanceId>): void {
    if (this.told.size <= MOST_TOLD) return
    for (const hub of [...this.told.keys()]) if (!instances.has(hub)) this.told.delete(hub)
  }

  /** @returns whether the hub is connected to the instance */
  isConnected (hub: InstanceId, instance: InstanceId): boolean {
    return this.told.get(hub)?.connected.has(instance) === true
  }

  /** @returns whether a hub said that the instance leaves */
  isLeaving (instance: InstanceId): boolean {
    return [...this.told.values()].some(({ leaving }) => leaving.has(instance))
  }

  /**
   * @param neighbours - whom this instance is connected to
   * @param hops - over how many hubs an instance may be reached
   * @returns all that can be reached; the word of a hub that cannot be reached itself does not count
   */
  reachableFrom (neighbours: Iterable<InstanceId>, hops: number): Set<InstanceId> {
    const reached = new Set(neighbours)
    let newest: readonly InstanceId[] = [...reached]
    for (let hop = 0; hop < hops; hop++) {
      const next = newest.flatMap((hub) => [...this.told.get(hub)?.connected ?? []]).filter((instance) => !reached.has(instance))
      for (const instance of next) reached.add(instance)
      newest = next
    }
    return reached
  }

  /** @returns the last words of all hubs, for an instance that has heard none */
  frames (): readonly (readonly [hub: InstanceId, frame: OverlayPresenceFrame])[] {
    return [...this.told].map(([hub, { connected, leaving }]) => [hub, { kind: 'overlay-presence', connected: [...connected], leaving: [...leaving] }])
  }
}
