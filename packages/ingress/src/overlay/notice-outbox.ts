/** Collects notices that are passed on, so that many small ones go out as one frame. */
import type { Clock, InstanceId, OverlayItem } from '@limpetwinch/core'

/**
 * A notice passes three instances at most and is late by this at each. A frame costs its reader a wake-up and its writer a
 * system call for each neighbour, so that a busy fleet would otherwise spend most of its time on frames of one notice.
 */
export const FLUSH_MILLISECONDS = 10
/** What is told at a pace of its own, slower than this, may wait so long for company at each hop. */
const PATIENT_FLUSH_MILLISECONDS = 50

/** How soon a notice has to go on. */
export type Urgency = 'urgent' | 'patient'

/** A notice on its way. */
export interface QueuedItem {
  readonly item: OverlayItem
  readonly urgency: Urgency
}

/** Sends items to each of the neighbours as one frame. */
export type SendItems = (to: readonly InstanceId[], items: readonly QueuedItem[]) => void

/** Who hears what is put under `leaves` and `hubs`, at the moment of sending. */
export interface OutboxNeighbours {
  readonly leaves: () => readonly InstanceId[]
  readonly hubs: () => readonly InstanceId[]
}

/** What waits to be sent. An urgent item takes all with it that came before it: nothing overtakes. */
export class NoticeOutbox {
  private readonly clock: Clock
  private readonly neighbours: OutboxNeighbours
  private readonly send: SendItems
  private forLeaves: QueuedItem[] = []
  private forHubs: QueuedItem[] = []
  private forOne = new Map<InstanceId, QueuedItem[]>()
  private readonly scheduled: Record<Urgency, boolean> = { urgent: false, patient: false }

  constructor (clock: Clock, neighbours: OutboxNeighbours, send: SendItems) {
    this.clock = clock
    this.neighbours = neighbours
    this.send = send
  }

  /** For all leaves; the one that made an item drops it. */
  toLeaves (queued: QueuedItem): void {
    this.forLeaves.push(queued)
    this.schedule(queued.urgency)
  }

  /** For all hubs. */
  toHubs (queued: QueuedItem): void {
    this.forHubs.push(queued)
    this.schedule(queued.urgency)
  }

  /** For one neighbour. */
  toOne (neighbour: InstanceId, queued: QueuedItem): void {
    const items = this.forOne.get(neighbour)
    if (items === undefined) this.forOne.set(neighbour, [queued])
    else items.push(queued)
    this.schedule(queued.urgency)
  }

  private schedule (urgency: Urgency): void {
    if (this.scheduled.urgent || this.scheduled[urgency]) return
    this.scheduled[urgency] = true
    const milliseconds = urgency === 'urgent' ? FLUSH_MILLISECONDS : PATIENT_FLUSH_MILLISECONDS
    void this.clock.sleep(milliseconds).then(() => {
      this.scheduled[urgency] = false
      this.flush()
    })
  }

  private flush (): void {
    const { forLeaves, forHubs, forOne } = this
    this.forLeaves = []
    this.forHubs = []
    this.forOne = new Map()
    this.sendTo(this.neighbours.leaves(), forLeaves)
    this.sendTo(this.neighbours.hubs(), forHubs)
    for (const [neighbour, items] of forOne) this.sendTo([neighbour], items)
  }

  private sendTo (to: readonly InstanceId[], items: readonly QueuedItem[]): void {
    if (to.length > 0 && items.length > 0) this.send(to, items)
  }
}
