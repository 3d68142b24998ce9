/** Tracks which instances can be reached through which hub. Each hub announces the instances that are connected to it. */
import type { InstanceId, OverlayPresenceFrame } from '@limpetwinch/core'

/** Number of announcements to keep: enough for the hubs of dozens of data centres and for processes that have ended. */
const MAXIMUM_ANNOUNCEMENTS = 200

interface Announcement {
  readonly sequence: number
  readonly connected: ReadonlySet<InstanceId>
  readonly leaving: ReadonlySet<InstanceId>
}

/** The latest announcement of each hub. */
export class Presence {
  private readonly announcements = new Map<InstanceId, Announcement>()

  /**
   * Stores a hub's announcement unless a newer one of the hub is stored: a leaf that joins another hub gets the announcements that this hub
   * has stored, and they may arrive after newer ones that were broadcast meanwhile.
   */
  update (hub: InstanceId, frame: OverlayPresenceFrame): void {
    const { sequence = 0 } = frame
    if (sequence < (this.announcements.get(hub)?.sequence ?? 0)) return
    this.announcements.set(hub, { sequence, connected: new Set(frame.connected), leaving: new Set(frame.leaving) })
  }

  /** Drops the announcement of a hub. */
  forget (hub: InstanceId): void {
    this.announcements.delete(hub)
  }

  /**
   * If more than `MAXIMUM_ANNOUNCEMENTS` announcements are stored, drops those of all hubs except the given instances. Most of the
   * announcements dropped come from processes that have ended. Up to that number, the announcement of a hub that is not among the given
   * instances is kept, because the announcement of a hub that has just started may arrive before the hub's entry in the store.
   */
  keep (instances: ReadonlySet<InstanceId>): void {
    if (this.announcements.size <= MAXIMUM_ANNOUNCEMENTS) return
    for (const hub of [...this.announcements.keys()]) if (!instances.has(hub)) this.announcements.delete(hub)
  }

  /** @returns whether the hub is connected to the instance */
  isConnected (hub: InstanceId, instance: InstanceId): boolean {
    return this.announcements.get(hub)?.connected.has(instance) === true
  }

  /** @returns whether a hub announced that the instance is stopping */
  isLeaving (instance: InstanceId): boolean {
    return [...this.announcements.values()].some(({ leaving }) => leaving.has(instance))
  }

  /**
   * @param neighbours - the instances that this instance is connected to
   * @param hops - number of hubs through which an instance may be reached
   * @returns all reachable instances; the announcement of a hub that cannot be reached itself does not count
   */
  reachableFrom (neighbours: Iterable<InstanceId>, hops: number): Set<InstanceId> {
    const reached = new Set(neighbours)
    let frontier: readonly InstanceId[] = [...reached]
    for (let hop = 0; hop < hops; hop++) {
      const next = frontier.flatMap((hub) => [...this.announcements.get(hub)?.connected ?? []]).filter((instance) => !reached.has(instance))
      for (const instance of next) reached.add(instance)
      frontier = next
    }
    return reached
  }

  /** @returns the latest announcements of all hubs, for an instance that has received none */
  frames (): readonly (readonly [hub: InstanceId, frame: OverlayPresenceFrame])[] {
    return [...this.announcements].map(([hub, { connected, leaving, sequence }]) => [hub, { kind: 'overlay-presence', connected: [...connected], leaving: [...leaving], sequence }])
  }
}
