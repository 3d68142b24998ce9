/** Collects notices that are passed on, so that many small ones go out as one frame. */
import type { Clock, InstanceId, OverlayItem } from '@limpetwinch/core'

/**
 * A notice passes three instances at most and is late by this at each. A frame costs its reader a wake-up and its writer a
 * system call for each neighbour, so that a busy fleet would otherwise spend most of its time on frames of one notice.
 */
export const FLUSH_MILLISECONDS = 10

/** Sends items to each of the neighbours as one frame. */
export type SendItems = (to: readonly InstanceId[], items: readonly OverlayItem[]) => void

/** Who hears what is put under `leaves` and `hubs`, at the moment of sending. */
export interface OutboxNeighbours {
  readonly leaves: () => readonly InstanceId[]
  readonly hubs: () => readonly InstanceId[]
}

/** What waits to be sent. */
export class NoticeOutbox {
  private readonly clock: Clock
  private readonly neighbours: OutboxNeighbours
  private readonly send: SendItems
  private forLeaves: OverlayItem[] = []
  private forHubs: OverlayItem[] = []
  private forOne = new Map<InstanceId, OverlayItem[]>()
  private isScheduled = false

  constructor (clock: Clock, neighbours: OutboxNeighbours, send: SendItems) {
    this.clock = clock
    this.neighbours = neighbours
    this.send = send
  }

  /** For all leaves; the one that made an item drops it. */
  toLeaves (item: OverlayItem): void {
    this.forLeaves.push(item)
    this.schedule()
  }

  /** For all hubs. */
  toHubs (item: OverlayItem): void {
    this.forHubs.push(item)
    this.schedule()
  }

  /** For one neighbour. */
  toOne (neighbour: InstanceId, item: OverlayItem): void {
    const items = this.forOne.get(neighbour)
    if (items === undefined) this.forOne.set(neighbour, [item])
    else items.push(item)
    this.schedule()
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    void this.clock.sleep(FLUSH_MILLISECONDS).then(() => this.flush())
  }

  private flush (): void {
    this.isScheduled = false
    const { forLeaves, forHubs, forOne } = this
    this.forLeaves = []
    this.forHubs = []
    this.forOne = new Map()
    this.sendTo(this.neighbours.leaves(), forLeaves)
    this.sendTo(this.neighbours.hubs(), forHubs)
    for (const [neighbour, items] of forOne) this.sendTo([neighbour], items)
  }

  private sendTo (to: readonly InstanceId[], items: readonly OverlayItem[]): void {
    if (to.length > 0 && items.length > 0) this.send(to, items)
  }
}
