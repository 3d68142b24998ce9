/** Batches notices, which are one-way messages between instances, so that many small ones are sent as one frame. */
import type { Clock, InstanceId, OverlayItem } from '@limpetwinch/core'

/**
 * Time for which an urgent notice waits to be batched with others. The notice waits at each instance that sends or forwards it,
 * at most three. Each frame costs its reader a wake-up and its writer one system call per neighbour; without batches, a busy fleet
 * would spend most of its time on frames with one notice.
 */
export const FLUSH_MILLISECONDS = 10
/**
 * Time for which a patient notice waits to be batched, at each instance that sends or forwards it. Patient notices are created
 * periodically, at longer intervals than this.
 */
const PATIENT_FLUSH_MILLISECONDS = 50
/** Time for which an immediate notice waits to be batched: a request of some 20 ms waits for the reply to it. */
const IMMEDIATE_FLUSH_MILLISECONDS = 1

/** How soon a notice must be sent: `patient` notices wait longer to be batched, `immediate` ones hardly. */
export type Urgency = 'immediate' | 'urgent' | 'patient'

const WAIT_MILLISECONDS: Readonly<Record<Urgency, number>> = { immediate: IMMEDIATE_FLUSH_MILLISECONDS, urgent: FLUSH_MILLISECONDS, patient: PATIENT_FLUSH_MILLISECONDS }
/** For each urgency those whose scheduled flush comes at least as soon. */
const COVERED_BY: Readonly<Record<Urgency, readonly Urgency[]>> = { immediate: ['immediate'], urgent: ['immediate', 'urgent'], patient: ['immediate', 'urgent', 'patient'] }

/** A notice that waits to be sent. */
export interface QueuedItem {
  readonly item: OverlayItem
  readonly urgency: Urgency
}

/** Sends the items as one frame to each of the neighbours. */
export type SendItems = (to: readonly InstanceId[], items: readonly QueuedItem[]) => void

/** The leaves and the hubs connected to this instance, read when notices are sent. */
export interface OutboxNeighbours {
  readonly leaves: () => readonly InstanceId[]
  readonly hubs: () => readonly InstanceId[]
}

/** Queue of notices to be sent. When the wait of any item ends, all queued items are sent, so no item overtakes another. */
export class NoticeOutbox {
  private readonly clock: Clock
  private readonly neighbours: OutboxNeighbours
  private readonly send: SendItems
  private forLeaves: QueuedItem[] = []
  private forHubs: QueuedItem[] = []
  private forOne = new Map<InstanceId, QueuedItem[]>()
  private readonly scheduled: Record<Urgency, boolean> = { immediate: false, urgent: false, patient: false }

  constructor (clock: Clock, neighbours: OutboxNeighbours, send: SendItems) {
    this.clock = clock
    this.neighbours = neighbours
    this.send = send
  }

  /** Queues an item for all leaves. A leaf that created the item drops it on receipt. */
  toLeaves (queued: QueuedItem): void {
    this.forLeaves.push(queued)
    this.schedule(queued.urgency)
  }

  /** Queues an item for all hubs. */
  toHubs (queued: QueuedItem): void {
    this.forHubs.push(queued)
    this.schedule(queued.urgency)
  }

  /** Queues an item for one neighbour. */
  toOne (neighbour: InstanceId, queued: QueuedItem): void {
    const items = this.forOne.get(neighbour)
    if (items === undefined) this.forOne.set(neighbour, [queued])
    else items.push(queued)
    this.schedule(queued.urgency)
  }

  private schedule (urgency: Urgency): void {
    if (COVERED_BY[urgency].some((sooner) => this.scheduled[sooner])) return
    this.scheduled[urgency] = true
    void this.clock.sleep(WAIT_MILLISECONDS[urgency]).then(() => {
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
